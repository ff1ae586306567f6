#ifndef CHIVECRANK_TESTS_BENCH_CONTROL_CPU_METER_H_
#define CHIVECRANK_TESTS_BENCH_CONTROL_CPU_METER_H_

#include <chrono>
#include <ctime>

namespace chivecrank::bench {

/// Processor time of this thread, without the time that fakes took.
class cpu_meter {
 public:
  /// Leaves out what happens while it lives.
  class pause {
   public:
    explicit pause(cpu_meter& meter) : meter_(meter), from_(ThreadTime()) {}
    ~pause() { meter_.left_out_ += ThreadTime() - from_; }
    pause(const pause&) = delete;
    pause& operator=(const pause&) = delete;

   private:
    cpu_meter& meter_;
    std::chrono::nanoseconds from_;
  };

  void Start() {
    from_ = ThreadTime();
    left_out_ = {};
  }
  std::chrono::nanoseconds Spent() const {
    return ThreadTime() - from_ - left_out_;
  }

 private:
  static std::chrono::nanoseconds ThreadTime() {
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return std::chrono::seconds(now.tv_sec) +
           std::chrono::nanoseconds(now.tv_nsec);
  }

  std::chrono::nanoseconds from_{};
  std::chrono::nanoseconds left_out_{};
};

}  // namespace chivecrank::bench

#endif  // CHIVECRANK_TESTS_BENCH_CONTROL_CPU_METER_H_
