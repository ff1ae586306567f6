#include "upstream_refresher.h"

#include <glog/logging.h>

#include <utility>

namespace chivecrank {

upstream_refresher::upstream_refresher(base::clock& clock,
                                       coordination::instance_list& instances,
                                       std::chrono::milliseconds period,
                                       consumer consume)
    : clock_(clock),
      instances_(instances),
      period_(period),
      consume_(std::move(consume)) {}

upstream_refresher::~upstream_refresher() {
  Stop();
}

void upstream_refresher::Start() {
  thread_ = std::thread([this] { Run(); });
}

void upstream_refresher::Stop() {
  stopping_ = true;
  if (thread_.joinable())
    thread_.join();
}

void upstream_refresher::Run() {
  while (!stopping_) {
    const base::time_point next = clock_.Now() + period_;
    const auto listed = instances_.List();
    if (listed.has_value()) {
      consume_(listed.value());
      has_list_ = true;
    } else {
      LOG(WARNING) << "entry: keeping the last instance list: "
                   << base::Describe(listed.error()) << ".";
    }
    clock_.SleepUntil(next);
  }
}

}  // namespace chivecrank
