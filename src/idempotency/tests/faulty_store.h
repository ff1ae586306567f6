#ifndef CHIVECRANK_IDEMPOTENCY_TESTS_FAULTY_STORE_H_
#define CHIVECRANK_IDEMPOTENCY_TESTS_FAULTY_STORE_H_

#include <atomic>

#include "chivecrank/coordination/memory_store.h"

namespace chivecrank::idempotency {

/// How a write fails.
enum class write_fault {
  kNone,
  /// The write fails with kUnavailable and has no effect.
  kUnavailable,
  /// The write takes effect, but its response is lost.
  kLostResponse,
  /// The write has no effect, but its caller can't know that.
  kLostRequest,
};

/// A store whose writes fail from a given one on. After the first failed write,
/// reads fail with kUnavailable as well.
class faulty_store final : public coordination::store {
 public:
  explicit faulty_store(coordination::store& inner) : inner_(inner) {}

  /// Lets the next `after` writes succeed and then applies `fault` to every
  /// write.
  void InjectFault(write_fault fault, int after = 0) {
    writes_before_fault_ = after;
    fault_ = fault;
  }
  int writes() const { return writes_; }
  int reads() const { return reads_; }

  base::result<std::optional<coordination::store_entry>> Get(
      coordination::call_class purpose,
      const std::string& key) override {
    ++reads_;
    if (IsFailing())
      return UnavailableError();
    return inner_.Get(purpose, key);
  }
  base::result<coordination::version> Put(
      coordination::call_class purpose,
      const coordination::put_request& write) override {
    ++writes_;
    if (writes_before_fault_-- > 0 || fault_ == write_fault::kNone)
      return inner_.Put(purpose, write);
    if (fault_ == write_fault::kUnavailable)
      return UnavailableError();
    if (fault_ == write_fault::kLostResponse)
      static_cast<void>(inner_.Put(purpose, write));
    return base::error{base::error_kind::kOutcomeUnknown, "lost", "read back"};
  }
  base::result<void> Delete(coordination::call_class purpose,
                            const std::string& key,
                            coordination::version expected) override {
    ++writes_;
    return inner_.Delete(purpose, key, expected);
  }
  base::result<coordination::store_listing> List(
      coordination::call_class purpose,
      const std::string& prefix) override {
    ++reads_;
    if (IsFailing())
      return UnavailableError();
    return inner_.List(purpose, prefix);
  }
  base::result<coordination::watch_answer> Watch(
      const coordination::watch_request& request) override {
    return inner_.Watch(request);
  }
  base::result<coordination::lease_id> GrantLease(
      std::chrono::milliseconds term) override {
    return inner_.GrantLease(term);
  }
  base::result<void> RenewLease(coordination::lease_id lease) override {
    return inner_.RenewLease(lease);
  }
  base::result<void> RevokeLease(coordination::lease_id lease) override {
    return inner_.RevokeLease(lease);
  }

 private:
  bool IsFailing() const {
    return fault_ != write_fault::kNone && writes_before_fault_ < 0;
  }
  static base::error UnavailableError() {
    return {base::error_kind::kUnavailable, "down", "try again later"};
  }

  coordination::store& inner_;
  std::atomic<write_fault> fault_ = write_fault::kNone;
  std::atomic<int> writes_before_fault_ = 0;
  std::atomic<int> writes_ = 0;
  std::atomic<int> reads_ = 0;
};

}  // namespace chivecrank::idempotency

#endif  // CHIVECRANK_IDEMPOTENCY_TESTS_FAULTY_STORE_H_
