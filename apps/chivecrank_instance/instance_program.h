#ifndef CHIVECRANK_APPS_INSTANCE_PROGRAM_H_
#define CHIVECRANK_APPS_INSTANCE_PROGRAM_H_

#include <string>

#include "chivecrank/adapter/caller_api.h"
#include "chivecrank/adapter/permit_client.h"
#include "chivecrank/adapter/store_client.h"
#include "chivecrank/adapter/worker_client.h"
#include "chivecrank/base/boot_clock.h"
#include "chivecrank/base/holdover_clock.h"
#include "chivecrank/event_log/event_log.h"
#include "chivecrank/process/program.h"
#include "chivecrank/process/signal_flags.h"
#include "chivecrank/reactor/event_loop.h"
#include "chivecrank/reactor/http_server.h"
#include "chivecrank/runtime/instance_runtime.h"
#include "instance_settings.h"

namespace chivecrank::apps {

/// The wiring of one instance, and its life from start to stop.
class instance_program {
 public:
  explicit instance_program(instance_settings settings);

  process::exit_code Run();

 private:
  bool Listen();
  void Loop();
  void BeginStop();
  bool MayExit() const;
  std::string Metrics();

  const instance_settings settings_;
  base::boot_clock system_clock_;
  base::holdover_clock clock_;
  reactor::event_loop loop_;
  event_log::event_log log_;
  adapter::store_client store_;
  adapter::worker_client workers_;
  adapter::permit_client permits_;
  runtime::instance_runtime runtime_;
  adapter::caller_api api_;
  reactor::http_server callers_;
  reactor::http_server readiness_;
  reactor::http_server metrics_;
  process::signal_flags signals_;
  bool stopping_ = false;
  bool released_ = false;
  base::time_point stop_began_;
};

}  // namespace chivecrank::apps

#endif  // CHIVECRANK_APPS_INSTANCE_PROGRAM_H_
