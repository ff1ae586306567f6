#include "commands.h"

#include <array>
#include <iostream>
#include <string_view>

#include "chivecrank/security/token.h"
#include "configuration_file.h"

namespace chivecrank::ctl {
namespace {

using http::json_object;
using arguments_list = std::vector<std::string>;

constexpr unsigned kIndent = 2;

exit_code ExitCodeOf(const base::error& failure) {
  switch (failure.kind) {
    case base::error_kind::kInvalidArgument:
    case base::error_kind::kNotFound:
    case base::error_kind::kPermissionDenied:
    case base::error_kind::kUnauthenticated:
      return exit_code::kRefused;
    case base::error_kind::kConflict:
      return exit_code::kConflict;
    case base::error_kind::kUnavailable:
    case base::error_kind::kOutcomeUnknown:
    case base::error_kind::kTimeout:
      return exit_code::kUnavailable;
    default:
      return exit_code::kFailed;
  }
}

exit_code Report(const base::error& failure) {
  std::cerr << base::Describe(failure) << "\n";
  return ExitCodeOf(failure);
}

void PrintJson(const json_object& body) {
  body->stringify(std::cout, kIndent);
  std::cout << "\n";
}

exit_code Apply(command_context& context, const arguments_list& arguments) {
  const auto content = ReadConfigurationFile(arguments[0]);
  if (!content.has_value())
    return Report(content.error());
  const auto head = context.admin.Get("/v1/configuration");
  if (!head.has_value())
    return Report(head.error());
  json_object change = new Poco::JSON::Object;
  change->set("base", http::IntegerOf(head.value(), "revision"));
  change->set("comment", context.comment);
  change->set("content", content.value());
  const auto accepted = context.admin.Post("/v1/configuration", change);
  if (!accepted.has_value())
    return Report(accepted.error());
  if (context.format == output_format::kJson)
    PrintJson(accepted.value());
  else
    std::cout << "accepted revision "
              << http::IntegerOf(accepted.value(), "revision") << "\n";
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

exit_code History(command_context& context,
                  const arguments_list& /*arguments*/) {
  const auto body = context.admin.Get("/v1/history");
  if (!body.has_value())
    return Report(body.error());
  if (context.format == output_format::kJson) {
    PrintJson(body.value());
    return exit_code::kOk;
  }
  const http::json_array revisions = http::ArrayOf(body.value(), "revisions");
  std::cout << "REVISION\tAUTHOR\tCOMMENT\n";
  for (unsigned i = 0; i < revisions->size(); ++i) {
    const json_object item = revisions->getObject(i);
    std::cout << http::IntegerOf(item, "revision") << "\t"
              << http::StringOf(item, "author") << "\t"
              << http::StringOf(item, "comment") << "\n";
  }
  return exit_code::kOk;
}

exit_code HashToken(command_context& /*context*/,
                    const arguments_list& /*arguments*/) {
  std::string token;
  std::getline(std::cin, token);
  std::cout << security::HashToken(token) << "\n";
  return exit_code::kOk;
}

struct command {
  std::string_view name;
  std::string_view usage;
  std::size_t fewest_arguments = 0;
  std::size_t most_arguments = 0;
  exit_code (*run)(command_context&, const arguments_list&);
};

constexpr std::array kCommands = {
    command{"apply", "apply FILE.toml", 1, 1, Apply},
    command{"get", "get [REVISION]", 0, 1, Get},
    command{"history", "history", 0, 0, History},
    command{"hash-token", "hash-token < TOKEN", 0, 0, HashToken},
};

exit_code BadUsage() {
  std::cerr << "usage: chivecrankctl [flags] COMMAND\n";
  for (const command& known : kCommands)
    std::cerr << "  " << known.usage << "\n";
  return exit_code::kBadUsage;
}

}  // namespace

exit_code RunCommand(command_context& context,
                     const std::vector<std::string>& arguments) {
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
