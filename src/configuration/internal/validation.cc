#include "chivecrank/configuration/validation.h"

#include <algorithm>
#include <charconv>
#include <set>

#include "chivecrank/security/token.h"

namespace chivecrank::configuration {
namespace {

constexpr std::size_t kLongestName = 63;
constexpr std::int64_t kLargestWeight = 1000;
constexpr std::int64_t kLargestGang = 256;

bool IsName(const std::string& text) {
  if (text.empty() || text.size() > kLongestName)
    return false;
  return std::all_of(text.begin(), text.end(), [](char letter) {
    return (letter >= 'a' && letter <= 'z') ||
           (letter >= '0' && letter <= '9') || letter == '-';
  });
}

/// Collects the faults of one configuration.
class validator {
 public:
  explicit validator(const content& all) : all_(all) {}

  std::vector<fault> Run() {
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
    return std::move(faults_);
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
        Add(list + ".name", item.name, "give each a name of its own");
    }
  }

  void CheckService(const service_template& service) {
    const std::string place = "services." + service.name;
    CheckAtLeast(place + ".default_deadline_ms",
                 service.default_deadline.count(), 1);
    if (service.longest_deadline < service.default_deadline) {
      Add(place + ".longest_deadline_ms",
          std::to_string(service.longest_deadline.count()),
          "give at least the default deadline");
    }
    if (!(service.objective_ratio > 0 && service.objective_ratio < 1)) {
      Add(place + ".objective_ratio", std::to_string(service.objective_ratio),
          "give a share between 0 and 1, such as 0.999");
    }
    CheckAtLeast(place + ".queue_limit", service.queue_limit, 1);
    CheckDeclarations(place, service.parameters);
  }

  void CheckJob(const job_template& job) {
    const std::string place = "jobs." + job.name;
    CheckResources(place, job.demand);
    if (job.demand == coordination::resources{})
      Add(place, "no resources", "declare processors_milli or memory_mib");
    CheckAtLeast(place + ".run_time_ms", job.run_time.count(), 1);
    CheckAtLeast(place + ".finish_within_ms", job.finish_within.count(),
                 job.run_time.count());
    CheckAtLeast(place + ".attempt_limit", job.attempt_limit, 1);
    CheckAtLeast(place + ".gang_size", job.gang_size, 1);
    if (job.gang_size > kLargestGang)
      Add(place + ".gang_size", std::to_string(job.gang_size),
          "give at most " + std::to_string(kLargestGang));
    CheckDeclarations(place, job.parameters);
  }

  void CheckAccount(const client_account& account) {
    const std::string place = "accounts." + account.name;
    if (FindTeam(all_, account.team) == nullptr)
      Add(place + ".team", account.team, "name a team of this configuration");
    if (!security::IsTokenHash(account.token_hash)) {
      Add(place + ".token_hash", "(hidden)",
          "give the SHA-256 of the token as 64 hexadecimal digits");
    }
    if (account.weight < 1 || account.weight > kLargestWeight) {
      Add(place + ".weight", std::to_string(account.weight),
          "give a weight from 1 to " + std::to_string(kLargestWeight));
    }
    CheckAtLeast(place + ".request_limit", account.request_limit, 1);
    for (const parameter_value& given : account.parameters)
      CheckGiven(place, given);
  }

  void CheckDeclarations(const std::string& place,
                         const std::vector<parameter_declaration>& declared) {
    CheckNames(place + ".parameters", declared);
    for (const parameter_declaration& item : declared) {
      if (item.min_value > item.max_value)
        Add(place + ".parameters." + item.name, "min above max",
            "give min no larger than max");
      if (!item.required)
        CheckValue(place + ".parameters." + item.name + ".default", item,
                   item.default_value);
    }
  }

  void CheckGiven(const std::string& place, const parameter_value& given) {
    const std::string key = place + ".parameters." + given.name;
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
          "remove it; template " + given.template_name + " declares no such");
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

  void CheckResources(const std::string& place,
                      const coordination::resources& amount) {
    CheckAtLeast(place + ".processors_milli", amount.processors_milli, 0);
    CheckAtLeast(place + ".memory_mib", amount.memory_mib, 0);
    CheckAtLeast(place + ".accelerators", amount.accelerators, 0);
  }

  void CheckAtLeast(const std::string& key,
                    std::int64_t value,
                    std::int64_t lowest) {
    if (value < lowest)
      Add(key, std::to_string(value),
          "give at least " + std::to_string(lowest));
  }

  void Add(std::string key, std::string value, std::string remedy) {
    faults_.push_back({std::move(key), std::move(value), std::move(remedy)});
  }

  const content& all_;
  std::vector<fault> faults_;
};

}  // namespace

std::vector<fault> Validate(const content& all) {
  return validator(all).Run();
}

std::string Describe(const std::vector<fault>& faults) {
  std::string text;
  for (const fault& item : faults) {
    if (!text.empty())
      text += "\n";
    text += item.key + ": " + item.value + "; " + item.remedy;
  }
  return text;
}

}  // namespace chivecrank::configuration
