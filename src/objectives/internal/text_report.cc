#include "chivecrank/objectives/text_report.h"

#include <iomanip>
#include <sstream>

namespace chivecrank::objectives {
namespace {

constexpr std::int64_t kMinutesPerHour = 60;
constexpr std::int64_t kMinutesPerDay = 24 * kMinutesPerHour;
constexpr double kPercent = 100;

void AppendService(const service_burn& burn, std::ostringstream& text) {
  text << burn.objective.service << ": " << kPercent * burn.objective.ratio
       << "% within " << burn.objective.latency.count() << " ms\n"
       << "  requests " << burn.requests.WholeTotal() << ", bad "
       << burn.requests.WholeBad() << ", budget left "
       << kPercent * burn.budget_left << "%, alert "
       << AlertSeverityName(burn.alert) << "\n";
  for (const window_burn& window : burn.windows) {
    text << "  burn over " << std::setw(4) << WindowText(window.window) << ": "
         << window.burn_rate << " (" << window.requests.WholeBad() << " bad of "
         << window.requests.WholeTotal() << ")\n";
  }
  for (const offender& worst : burn.worst_accounts) {
    text << "  account " << worst.account << ": " << worst.requests.WholeBad()
         << " bad of " << worst.requests.WholeTotal() << "\n";
  }
}

http::json_object CountJson(const request_count& counted) {
  http::json_object encoded = new Poco::JSON::Object;
  encoded->set("total", counted.total);
  encoded->set("bad", counted.Bad());
  return encoded;
}

http::json_object ServiceJson(const service_burn& burn) {
  http::json_array windows = new Poco::JSON::Array;
  for (const window_burn& window : burn.windows) {
    http::json_object item = CountJson(window.requests);
    item->set("window", WindowText(window.window));
    item->set("burn_rate", window.burn_rate);
    windows->add(item);
  }
  http::json_array accounts = new Poco::JSON::Array;
  for (const offender& worst : burn.worst_accounts) {
    http::json_object item = CountJson(worst.requests);
    item->set("account", worst.account);
    accounts->add(item);
  }
  http::json_object encoded = CountJson(burn.requests);
  encoded->set("service", burn.objective.service);
  encoded->set("objective_ratio", burn.objective.ratio);
  encoded->set("objective_latency_ms",
               static_cast<Poco::Int64>(burn.objective.latency.count()));
  encoded->set("budget_left", burn.budget_left);
  encoded->set("alert", std::string(AlertSeverityName(burn.alert)));
  encoded->set("windows", windows);
  encoded->set("worst_accounts", accounts);
  return encoded;
}

}  // namespace

std::string WindowText(std::chrono::minutes window) {
  const std::int64_t count = window.count();
  if (count % kMinutesPerDay == 0)
    return std::to_string(count / kMinutesPerDay) + " d";
  if (count % kMinutesPerHour == 0)
    return std::to_string(count / kMinutesPerHour) + " h";
  return std::to_string(count) + " m";
}

std::string TextReport(const burn_report& report) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(1);
  if (report.services.empty())
    text << "no objectives in the samples\n";
  for (const service_burn& burn : report.services)
    AppendService(burn, text);
  return text.str();
}

http::json_object JsonReport(const burn_report& report) {
  http::json_array services = new Poco::JSON::Array;
  for (const service_burn& burn : report.services)
    services->add(ServiceJson(burn));
  http::json_object encoded = new Poco::JSON::Object;
  encoded->set("from_ms", report.from_ms);
  encoded->set("to_ms", report.to_ms);
  encoded->set("services", services);
  return encoded;
}

}  // namespace chivecrank::objectives
