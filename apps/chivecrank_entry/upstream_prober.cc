#include "upstream_prober.h"

#include <utility>

namespace chivecrank {
namespace {

constexpr std::chrono::milliseconds kPeriod{500};

}  // namespace

upstream_prober::upstream_prober(base::clock& clock,
                                 entries::slot_pool& pool,
                                 probe send,
                                 observer show)
    : clock_(clock),
      pool_(pool),
      send_(std::move(send)),
      show_(std::move(show)) {}

upstream_prober::~upstream_prober() {
  Stop();
}

void upstream_prober::Start() {
  thread_ = std::thread([this] { Run(); });
}

void upstream_prober::Stop() {
  stopping_ = true;
  if (thread_.joinable())
    thread_.join();
}

void upstream_prober::Run() {
  while (!stopping_) {
    const base::time_point next = clock_.Now() + kPeriod;
    show_(pool_.Totals());
    for (const coordination::instance& upstream : pool_.UpstreamsToProbe()) {
      const base::time_point sent = clock_.Now();
      if (!stopping_ && send_(upstream))
        pool_.RecordProbeAnswer(upstream.id, sent);
    }
    clock_.SleepUntil(next);
  }
}

}  // namespace chivecrank
