#include "collector.h"

#include <iostream>
#include <utility>

#include "chivecrank/configuration/codec.h"
#include "chivecrank/http/client.h"
#include "chivecrank/objectives/metrics_text.h"
#include "chivecrank/objectives/sample_codec.h"

namespace chivecrank {
namespace {

constexpr std::chrono::milliseconds kTimeout{5000};

}  // namespace

collector::collector(base::clock& clock, collector_options options)
    : clock_(clock), options_(std::move(options)) {}

base::result<void> collector::Run(std::ostream& output) {
  BOOST_OUTCOME_TRY(WriteObjectives(output));
  for (int round = 0; round < options_.rounds; ++round) {
    const base::time_point next = clock_.Now() + options_.period;
    for (const settings::endpoint& target : options_.targets)
      WriteCounters(target, output);
    output.flush();
    if (round + 1 < options_.rounds)
      clock_.SleepUntil(next);
  }
  return base::Success();
}

base::result<void> collector::WriteObjectives(std::ostream& output) {
  http::client client(options_.admin);
  BOOST_OUTCOME_TRY(
      answer, client.Call({"GET",
                           "/v1/configuration",
                           {{"Authorization", "Bearer " + options_.token}},
                           ""},
                          kTimeout));
  if (answer.code != static_cast<int>(http::status::kOk))
    return http::ErrorOf(answer);
  BOOST_OUTCOME_TRY(body, http::ParseObject(answer.body));
  const http::json_object encoded = http::ObjectOf(body, "content");
  if (!encoded) {
    return base::error{base::error_kind::kInvalidArgument,
                       "the administration API sent no configuration",
                       "check the address given with --admin"};
  }
  BOOST_OUTCOME_TRY(content, configuration::DecodeContent(encoded));
  for (const configuration::service_template& service : content.services) {
    output << objectives::EncodeLine(objectives::service_objective{
                  service.name, service.objective_ratio,
                  service.objective_latency})
           << "\n";
  }
  return base::Success();
}

void collector::WriteCounters(const settings::endpoint& target,
                              std::ostream& output) {
  http::client client(target);
  const auto answer = client.Call({"GET", "/metrics", {}, ""}, kTimeout);
  if (!answer.has_value()) {
    std::cerr << base::Describe(answer.error()) << "\n";
    return;
  }
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      clock_.WallNow().time_since_epoch());
  for (const objectives::counter_sample& sample :
       objectives::ReadRequestCounters(
           answer.value().body, settings::ToString(target), now.count())) {
    output << objectives::EncodeLine(sample) << "\n";
  }
}

}  // namespace chivecrank
