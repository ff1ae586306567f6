#include "chivecrank/configuration/validation.h"

#include <algorithm>
#include <charconv>
#include <set>

#include "chivecrank/security/token.h"

namespace chivecrank::configuration {
namespace {

constexpr std::size_t kMaxNameLength = 63;
constexpr std::int64_t kMaxWeight = 1000;
constexpr std::int64_t kMaxGangSize = 256;

bool IsName(const std::string& text) {
  if (text.empty() || text.size() > kMaxNameLength)
    return false;
  return std::all_of(text.begin(), text.end(), [](char letter) {
    return (letter >= 'a' && letter <= 'z') ||
           (letter >= '0' && letter <= '9') || letter == '-';
  });
}

/// Collects the validation errors of a configuration.
class validator {
 public:
  explicit validator(const content& all) : all_(all) {}

  std::vector<validation_error> Run() {
    CheckNames("services", all_.services);
    CheckNames("jobs", all_.jobs);
    CheckNames("accounts", all_.accounts);
    CheckNames("teams", all_.teams);
    for (const service_template& service : all_.services)
      CheckService(service);
    for (const job_template& job : all_.jobs)
      CheckJob(job);
    for (const client_account& account : all_.accounts)
      CheckAccount(account);
    for (const team& item : all_.teams)
      CheckResources("teams." + item.name, item.quota);
    return std::move(errors_);
  }

 private:
  template <class T>
  void CheckNames(const std::string& list, const std::vector<T>& items) {
    std::set<std::string> seen;
    for (const T& item : items) {
      if (!IsName(item.name)) {
        Add(list + ".name", item.name,
            "use 1 to 63 lower-case letters, digits and hyphens");
      }
      if (!seen.insert(item.name).second)
        Add(list + ".name", item.name, "use a unique name");
    }
  }

  void CheckService(const service_template& service) {
    const std::string path = "services." + service.name;
    CheckAtLeast(path + ".default_deadline_ms",
                 service.default_deadline.count(), 1);
    if (service.longest_deadline < service.default_deadline) {
      Add(path + ".longest_deadline_ms",
          std::to_string(service.longest_deadline.count()),
          "give at least the default deadline");
    }
    if (!(service.objective_ratio > 0 && service.objective_ratio < 1)) {
      Add(path + ".objective_ratio", std::to_string(service.objective_ratio),
          "give a share between 0 and 1, such as 0.999");
    }
    CheckAtLeast(path + ".queue_limit", service.queue_limit, 1);
    CheckDeclarations(path, service.parameters);
  }

  void CheckJob(const job_template& job) {
    const std::string path = "jobs." + job.name;
    CheckResources(path, job.demand);
    if (job.demand == coordination::resources{})
      Add(path, "no resources", "declare processors_milli or memory_mib");
    CheckAtLeast(path + ".run_time_ms", job.run_time.count(), 1);
    CheckAtLeast(path + ".finish_within_ms", job.finish_within.count(),
                 job.run_time.count());
    CheckAtLeast(path + ".attempt_limit", job.attempt_limit, 1);
    CheckAtLeast(path + ".gang_size", job.gang_size, 1);
    if (job.gang_size > kMaxGangSize)
      Add(path + ".gang_size", std::to_string(job.gang_size),
          "give at most " + std::to_string(kMaxGangSize));
    CheckDeclarations(path, job.parameters);
  }

  void CheckAccount(const client_account& account) {
    const std::string path = "accounts." + account.name;
    if (FindTeam(all_, account.team) == nullptr)
      Add(path + ".team", account.team, "name a team of this configuration");
    if (!security::IsTokenHash(account.token_hash)) {
      Add(path + ".token_hash", "(hidden)",
          "give the SHA-256 of the token as 64 hexadecimal digits");
    }
    if (account.weight < 1 || account.weight > kMaxWeight) {
      Add(path + ".weight", std::to_string(account.weight),
          "give a weight from 1 to " + std::to_string(kMaxWeight));
    }
    CheckAtLeast(path + ".request_limit", account.request_limit, 1);
    for (const parameter_value& given : account.parameters)
      CheckParameterValue(path, given);
  }

  void CheckDeclarations(const std::string& path,
                         const std::vector<parameter_declaration>& declared) {
    CheckNames(path + ".parameters", declared);
    for (const parameter_declaration& item : declared) {
      if (item.min_value > item.max_value)
        Add(path + ".parameters." + item.name, "min is above max",
            "give min no larger than max");
      if (!item.required)
        CheckValue(path + ".parameters." + item.name + ".default", item,
                   item.default_value);
    }
  }

  void CheckParameterValue(const std::string& path,
                           const parameter_value& given) {
    const std::string key = path + ".parameters." + given.name;
    const std::vector<parameter_declaration>* declared = nullptr;
    if (const auto* service = FindService(all_, given.template_name))
      declared = &service->parameters;
    else if (const auto* job = FindJob(all_, given.template_name))
      declared = &job->parameters;
    if (declared == nullptr) {
      Add(key, given.template_name, "name a template of this configuration");
      return;
    }
    const auto found =
        std::find_if(declared->begin(), declared->end(),
                     [&](const auto& item) { return item.name == given.name; });
    if (found == declared->end()) {
      Add(key, given.value,
          "remove it; template " + given.template_name +
              " does not declare it");
      return;
    }
    CheckValue(key, *found, given.value);
  }

  void CheckValue(const std::string& key,
                  const parameter_declaration& declared,
                  const std::string& value) {
    if (declared.type == parameter_type::kBoolean && value != "true" &&
        value != "false") {
      Add(key, value, "give true or false");
    }
    if (declared.type != parameter_type::kInteger)
      return;
    std::int64_t number = 0;
    const char* end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
      Add(key, value, "give an integer");
      return;
    }
    if (number < declared.min_value || number > declared.max_value) {
      Add(key, value,
          "give an integer from " + std::to_string(declared.min_value) +
              " to " + std::to_string(declared.max_value));
    }
  }

  void CheckResources(const std::string& path,
                      const coordination::resources& amount) {
    CheckAtLeast(path + ".processors_milli", amount.processors_milli, 0);
    CheckAtLeast(path + ".memory_mib", amount.memory_mib, 0);
    CheckAtLeast(path + ".accelerators", amount.accelerators, 0);
  }

  void CheckAtLeast(const std::string& key,
                    std::int64_t value,
                    std::int64_t minimum) {
    if (value < minimum)
      Add(key, std::to_string(value),
          "give at least " + std::to_string(minimum));
  }

  void Add(std::string key, std::string value, std::string remedy) {
    errors_.push_back({std::move(key), std::move(value), std::move(remedy)});
  }

  const content& all_;
  std::vector<validation_error> errors_;
};

}  // namespace

std::vector<validation_error> Validate(const content& all) {
  return validator(all).Run();
}

std::string Describe(const std::vector<validation_error>& errors) {
  std::string text;
  for (const validation_error& item : errors) {
    if (!text.empty())
      text += "\n";
    text += item.key + ": " + item.value + "; " + item.remedy;
  }
  return text;
}

}  // namespace chivecrank::configuration
