#ifndef CHIVECRANK_ROUTING_LATENCY_SPREAD_H_
#define CHIVECRANK_ROUTING_LATENCY_SPREAD_H_

namespace chivecrank::routing {

/// Mean and deviation of the latencies of late, all upstreams together.
class latency_spread {
 public:
  /// Learns from an answered request.
  void Learn(double latency_ms);

  /// A latency that about one request in a thousand exceeds.
  double HighMs() const;

 private:
  double mean_ms_ = 0;
  double variance_ = 0;
  double samples_ = 0;
};

}  // namespace chivecrank::routing

#endif  // CHIVECRANK_ROUTING_LATENCY_SPREAD_H_
