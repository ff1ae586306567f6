#include "recorder.h"

#include <algorithm>

namespace chivecrank::bench {
namespace {

double Percentile(std::vector<double> values, double share) {
  if (values.empty())
    return 0;
  const auto at =
      values.begin() + static_cast<std::ptrdiff_t>(
                           share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

double Ratio(std::int64_t part, std::int64_t whole) {
  return whole == 0 ? 1
                    : static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace

recorder::recorder(const event_queue& events,
                   const std::vector<arrival>& arrivals)
    : events_(events), arrivals_(arrivals), closed_(arrivals.size()) {}

bool recorder::Close(std::size_t request) {
  if (closed_[request])
    return false;
  closed_[request] = true;
  if (arrivals_[request].at < base::time_point(kWarmUp))
    return false;
  ++counted_.requests;
  if (arrivals_[request].account != kNoisyAccount)
    ++others_;
  return true;
}

void recorder::Answered(std::size_t request) {
  if (!Close(request))
    return;
  const arrival& from = arrivals_[request];
  const double ms =
      std::chrono::duration<double, std::milli>(events_.Now() - from.at)
          .count();
  const bool hit = events_.Now() <= from.at + kDeadline;
  latencies_ms_.push_back(ms);
  hits_ += hit ? 1 : 0;
  if (from.account == kNoisyAccount)
    return;
  others_ms_.push_back(ms);
  others_hits_ += hit ? 1 : 0;
}

void recorder::Refused(std::size_t request) {
  if (Close(request))
    ++counted_.refused;
}

void recorder::MissedDeadline(std::size_t request) {
  if (!Close(request))
    return;
  const double ms =
      std::chrono::duration<double, std::milli>(kDeadline).count();
  latencies_ms_.push_back(ms);
  if (arrivals_[request].account != kNoisyAccount)
    others_ms_.push_back(ms);
}

run_totals recorder::Totals() const {
  run_totals totals = counted_;
  totals.p50_ms = Percentile(latencies_ms_, 0.5);
  totals.p99_ms = Percentile(latencies_ms_, 0.99);
  totals.p999_ms = Percentile(latencies_ms_, 0.999);
  totals.deadline_hit = Ratio(hits_, totals.requests);
  totals.others_p99_ms = Percentile(others_ms_, 0.99);
  totals.others_deadline_hit = Ratio(others_hits_, others_);
  return totals;
}

}  // namespace chivecrank::bench
