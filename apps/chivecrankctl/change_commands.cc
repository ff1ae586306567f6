#include "change_commands.h"

#include <Poco/UUIDGenerator.h>

#include <iostream>
#include <thread>

#include "configuration_file.h"
#include "output.h"

namespace chivecrank::ctl {
namespace {

using clock = std::chrono::steady_clock;
using http::json_object;

constexpr int kTries = 3;
constexpr std::chrono::milliseconds kRetryPause{500};
constexpr std::chrono::milliseconds kWaitPause{100};

json_object NewObject() {
  return new Poco::JSON::Object;
}

bool MayHaveBeenLost(const base::error& failure) {
  return failure.kind == base::error_kind::kUnavailable ||
         failure.kind == base::error_kind::kOutcomeUnknown ||
         failure.kind == base::error_kind::kTimeout;
}

/// Posts a change that carries a write id, again when the answer was lost: it
/// is accepted once at most.
base::result<json_object> PostSafely(admin_client& admin,
                                     const json_object& change) {
  for (int attempt = 1;; ++attempt) {
    auto accepted = admin.Post("/v1/configuration", change);
    if (accepted.has_value() || !MayHaveBeenLost(accepted.error()) ||
        attempt == kTries) {
      return accepted;
    }
    std::this_thread::sleep_for(kRetryPause);
  }
}

exit_code WaitUntilInForce(command_context& context, std::int64_t revision) {
  const clock::time_point end = clock::now() + context.wait_limit;
  const std::string target = "/v1/status?revision=" + std::to_string(revision);
  while (true) {
    const auto status = context.admin.Get(target);
    if (status.has_value() &&
        http::BooleanOf(status.value(), "in_force_everywhere")) {
      std::cerr << "in force everywhere\n";
      return exit_code::kOk;
    }
    if (clock::now() >= end) {
      std::cerr << "revision " << revision
                << " is accepted but not in force everywhere; see "
                   "\"chivecrankctl status\" for the processes behind\n";
      return exit_code::kNotInForce;
    }
    std::this_thread::sleep_for(kWaitPause);
  }
}

exit_code Finish(command_context& context,
                 const base::result<json_object>& accepted) {
  if (!accepted.has_value())
    return Report(accepted.error());
  const std::int64_t revision = http::IntegerOf(accepted.value(), "revision");
  if (context.format == output_format::kJson)
    PrintJson(accepted.value());
  else
    std::cout << "accepted revision " << revision << "\n";
  return context.wait ? WaitUntilInForce(context, revision) : exit_code::kOk;
}

exit_code PostDrain(command_context& context,
                    const arguments_list& arguments,
                    const std::string& target) {
  if (context.dry_run) {
    std::cerr << "--dry_run is for apply; see docs/operations\n";
    return exit_code::kBadUsage;
  }
  json_object order = NewObject();
  order->set("scope", arguments[0]);
  order->set("name", arguments[1]);
  order->set("comment", context.comment);
  return Finish(context, context.admin.Post(target, order));
}

}  // namespace

exit_code Apply(command_context& context, const arguments_list& arguments) {
  const auto content = ReadConfigurationFile(arguments[0]);
  if (!content.has_value())
    return Report(content.error());
  const auto head = context.admin.Get("/v1/configuration");
  if (!head.has_value())
    return Report(head.error());
  json_object change = NewObject();
  change->set("base", http::IntegerOf(head.value(), "revision"));
  change->set("comment", context.comment);
  change->set("content", content.value());
  change->set(
      "write_id",
      Poco::UUIDGenerator::defaultGenerator().createRandom().toString());
  if (!context.dry_run)
    return Finish(context, PostSafely(context.admin, change));
  change->set("dry_run", true);
  const auto checked = context.admin.Post("/v1/configuration", change);
  if (!checked.has_value())
    return Report(checked.error());
  PrintList(context, checked.value(), "differences",
            {"change", "section", "name"});
  return exit_code::kOk;
}

exit_code Rollback(command_context& context, const arguments_list& arguments) {
  if (context.dry_run) {
    std::cerr << "use \"diff\" to see what a rollback would change\n";
    return exit_code::kBadUsage;
  }
  json_object order = NewObject();
  order->set("revision", arguments[0]);
  order->set("comment", context.comment);
  return Finish(context, context.admin.Post("/v1/rollback", order));
}

exit_code Drain(command_context& context, const arguments_list& arguments) {
  return PostDrain(context, arguments, "/v1/drain");
}

exit_code Undrain(command_context& context, const arguments_list& arguments) {
  return PostDrain(context, arguments, "/v1/undrain");
}

}  // namespace chivecrank::ctl
