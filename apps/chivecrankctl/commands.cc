#include "commands.h"

#include <array>
#include <iostream>
#include <string_view>

#include "change_commands.h"
#include "chivecrank/security/token.h"
#include "output.h"

namespace chivecrank::ctl {
namespace {

exit_code Show(command_context& context,
               const std::string& target,
               const std::string& key,
               const std::vector<std::string>& columns) {
  const auto body = context.admin.Get(target);
  if (!body.has_value())
    return Report(body.error());
  PrintList(context, body.value(), key, columns);
  return exit_code::kOk;
}

exit_code Get(command_context& context, const arguments_list& arguments) {
  std::string target = "/v1/configuration";
  if (!arguments.empty())
    target += "?revision=" + arguments[0];
  const auto body = context.admin.Get(target);
  if (!body.has_value())
    return Report(body.error());
  PrintJson(body.value());
  return exit_code::kOk;
}

exit_code Diff(command_context& context, const arguments_list& arguments) {
  if (arguments.size() == 1) {
    context.dry_run = true;
    return Apply(context, arguments);
  }
  return Show(context,
              "/v1/difference?from=" + arguments[0] + "&to=" + arguments[1],
              "differences", {"change", "section", "name"});
}

exit_code History(command_context& context, const arguments_list&) {
  return Show(context, "/v1/history", "revisions",
              {"revision", "author", "accepted_at_ms", "comment"});
}

exit_code Instances(command_context& context, const arguments_list&) {
  return Show(context, "/v1/instances", "processes",
              {"failure_domain", "instance", "daemon", "status", "reached",
               "revision"});
}

exit_code Workers(command_context& context, const arguments_list&) {
  return Show(context, "/v1/workers", "workers",
              {"failure_domain", "rack", "worker", "state", "drained", "slots",
               "processors_milli", "memory_mib", "accelerators"});
}

exit_code Teams(command_context& context, const arguments_list&) {
  return Show(context, "/v1/teams", "teams",
              {"name", "processors_milli", "memory_mib", "accelerators"});
}

exit_code Shards(command_context& context, const arguments_list&) {
  return Show(context, "/v1/shards", "shards", {"shard", "owner", "epoch"});
}

exit_code Job(command_context& context, const arguments_list& arguments) {
  const auto body = context.admin.Get("/v1/jobs?account=" + arguments[0] +
                                      "&job=" + arguments[1]);
  if (!body.has_value())
    return Report(body.error());
  PrintJson(body.value());
  return exit_code::kOk;
}

exit_code Status(command_context& context, const arguments_list&) {
  const auto body = context.admin.Get("/v1/status");
  if (!body.has_value())
    return Report(body.error());
  const bool everywhere = http::BooleanOf(body.value(), "in_force_everywhere");
  if (context.format == output_format::kTable) {
    std::cout << "revision " << http::IntegerOf(body.value(), "revision")
              << (everywhere ? " is in force everywhere\n"
                             : " is not in force everywhere; behind:\n");
  }
  if (!everywhere || context.format == output_format::kJson) {
    PrintList(context, body.value(), "behind",
              {"instance", "daemon", "status", "reached", "revision"});
  }
  return everywhere ? exit_code::kOk : exit_code::kNotInForce;
}

exit_code HashToken(command_context&, const arguments_list&) {
  std::string token;
  std::getline(std::cin, token);
  std::cout << security::HashToken(token) << "\n";
  return exit_code::kOk;
}

exit_code Completion(command_context& context, const arguments_list& arguments);

struct command {
  std::string_view name;
  std::string_view usage;
  std::size_t fewest_arguments = 0;
  std::size_t most_arguments = 0;
  exit_code (*run)(command_context&, const arguments_list&);
};

constexpr std::array kCommands = {
    command{"apply", "apply FILE.toml [--dry_run] [--wait]", 1, 1, Apply},
    command{"diff", "diff FILE.toml | diff FROM TO", 1, 2, Diff},
    command{"get", "get [REVISION]", 0, 1, Get},
    command{"history", "history", 0, 0, History},
    command{"rollback", "rollback REVISION [--wait]", 1, 1, Rollback},
    command{"drain", "drain worker|rack|failure_domain NAME [--wait]", 2, 2,
            Drain},
    command{"undrain", "undrain worker|rack|failure_domain NAME [--wait]", 2, 2,
            Undrain},
    command{"job", "job ACCOUNT JOB", 2, 2, Job},
    command{"workers", "workers", 0, 0, Workers},
    command{"teams", "teams", 0, 0, Teams},
    command{"instances", "instances", 0, 0, Instances},
    command{"shards", "shards", 0, 0, Shards},
    command{"status", "status", 0, 0, Status},
    command{"hash-token", "hash-token < TOKEN", 0, 0, HashToken},
    command{"completion", "completion bash", 1, 1, Completion},
};

exit_code BadUsage() {
  std::cerr << "usage: chivecrankctl [flags] COMMAND\n";
  for (const command& known : kCommands)
    std::cerr << "  " << known.usage << "\n";
  return exit_code::kBadUsage;
}

exit_code Completion(command_context&, const arguments_list& arguments) {
  if (arguments[0] != "bash")
    return BadUsage();
  std::cout << "complete -o default -W '";
  for (const command& known : kCommands)
    std::cout << known.name << " ";
  std::cout << "--admin= --token= --output=table --output=json --comment= "
               "--dry_run --wait --wait_seconds=' chivecrankctl\n";
  return exit_code::kOk;
}

}  // namespace

exit_code RunCommand(command_context& context,
                     const arguments_list& arguments) {
  if (arguments.empty())
    return BadUsage();
  for (const command& known : kCommands) {
    if (known.name != arguments[0])
      continue;
    const arguments_list rest(arguments.begin() + 1, arguments.end());
    if (rest.size() < known.fewest_arguments ||
        rest.size() > known.most_arguments) {
      return BadUsage();
    }
    return known.run(context, rest);
  }
  return BadUsage();
}

}  // namespace chivecrank::ctl
