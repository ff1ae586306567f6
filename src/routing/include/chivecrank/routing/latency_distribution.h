#ifndef CHIVECRANK_ROUTING_LATENCY_DISTRIBUTION_H_
#define CHIVECRANK_ROUTING_LATENCY_DISTRIBUTION_H_

namespace chivecrank::routing {

/// Exponentially weighted mean and variance of request latencies over all
/// upstreams.
class latency_distribution {
 public:
  void AddSample(double latency_ms);

  /// Estimate of a latency that about one request in a thousand exceeds.
  double TailMs() const;

 private:
  double mean_ms_ = 0;
  double variance_ = 0;
  double samples_ = 0;
};

}  // namespace chivecrank::routing

#endif  // CHIVECRANK_ROUTING_LATENCY_DISTRIBUTION_H_
