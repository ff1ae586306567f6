#ifndef CHIVECRANK_TESTS_BENCH_CONTROL_COUNTED_STORE_H_
#define CHIVECRANK_TESTS_BENCH_CONTROL_COUNTED_STORE_H_

#include <string>

#include "chivecrank/coordination/memory_store.h"
#include "chivecrank/coordination/store_codec.h"
#include "chivecrank/http/json.h"
#include "cpu_meter.h"

namespace chivecrank::bench {

/// Counts the calls to a store and the bytes they take on the wire.
class counted_store final : public coordination::store {
 public:
  counted_store(base::clock& clock, cpu_meter& meter)
      : real_(clock), meter_(meter) {}

  base::result<std::optional<coordination::store_entry>> Get(
      coordination::call_class purpose,
      const std::string& key) override {
    Count(reads_, key.size());
    const cpu_meter::pause outside(meter_);
    return real_.Get(purpose, key);
  }
  base::result<coordination::version> Put(
      coordination::call_class purpose,
      const coordination::put_request& write) override {
    Count(writes_, http::ToText(coordination::EncodePut(write)).size());
    const cpu_meter::pause outside(meter_);
    return real_.Put(purpose, write);
  }
  base::result<void> Delete(coordination::call_class purpose,
                            const std::string& key,
                            coordination::version expected) override {
    Count(writes_, key.size());
    const cpu_meter::pause outside(meter_);
    return real_.Delete(purpose, key, expected);
  }
  base::result<coordination::store_listing> List(
      coordination::call_class purpose,
      const std::string& prefix) override {
    const cpu_meter::pause outside(meter_);
    auto listed = real_.List(purpose, prefix);
    std::uint64_t size = prefix.size();
    for (const coordination::store_entry& entry : listed.value().entries)
      size += entry.key.size() + entry.value.size();
    Count(reads_, size);
    return listed;
  }
  base::result<coordination::watch_answer> Watch(
      const coordination::watch_request& request) override {
    Count(reads_, request.prefix.size());
    return real_.Watch(request);
  }
  base::result<coordination::lease_id> GrantLease(
      std::chrono::milliseconds term) override {
    Count(writes_, 0);
    return real_.GrantLease(term);
  }
  base::result<void> RenewLease(coordination::lease_id lease) override {
    Count(writes_, 0);
    return real_.RenewLease(lease);
  }
  base::result<void> RevokeLease(coordination::lease_id lease) override {
    Count(writes_, 0);
    return real_.RevokeLease(lease);
  }

  std::uint64_t reads() const { return reads_; }
  std::uint64_t writes() const { return writes_; }
  std::uint64_t bytes() const { return bytes_; }

 private:
  /// Headers of a call and its answer, with the answer's short body.
  static constexpr std::uint64_t kOverheadBytes = 131 + 132 + 20;

  void Count(std::uint64_t& calls, std::uint64_t body) {
    ++calls;
    bytes_ += body + kOverheadBytes;
  }

  coordination::memory_store real_;
  cpu_meter& meter_;
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
  std::uint64_t bytes_ = 0;
};

}  // namespace chivecrank::bench

#endif  // CHIVECRANK_TESTS_BENCH_CONTROL_COUNTED_STORE_H_
