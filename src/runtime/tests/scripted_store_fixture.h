#ifndef CHIVECRANK_RUNTIME_TESTS_SCRIPTED_STORE_FIXTURE_H_
#define CHIVECRANK_RUNTIME_TESTS_SCRIPTED_STORE_FIXTURE_H_

#include <chrono>
#include <string_view>

#include "chivecrank/base/manual_clock.h"
#include "chivecrank/event_log/event_log.h"
#include "chivecrank/reactor/event_loop.h"
#include "tests/scripted_store.h"

namespace chivecrank::runtime {

/// What code that writes to the store is built on, with time and the store's
/// answers in the test's hands.
struct scripted_store_fixture {
  /// Lets time pass without an answer of the store.
  void Pass(std::chrono::milliseconds time) {
    clock.Advance(time);
    loop.RunOnce(std::chrono::milliseconds(0));
  }

  /// Answers all that was sent, and all that is sent then.
  void AnswerAll() {
    store.AnswerCalls();
    while (store.HasSent())
      store.AnswerNext();
  }

  base::manual_clock clock;
  reactor::event_loop loop{clock};
  event_log::event_log log{clock, "node", {}, [](std::string_view bytes) {
                             return bytes.size();
                           }};
  scripted_store store;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_TESTS_SCRIPTED_STORE_FIXTURE_H_
