#ifndef CHIVECRANK_APPS_CHIVECRANKCTL_CHANGE_COMMANDS_H_
#define CHIVECRANK_APPS_CHIVECRANKCTL_CHANGE_COMMANDS_H_

#include "commands.h"

namespace chivecrank::ctl {

/// Commands that change the configuration.
exit_code Apply(command_context& context, const arguments_list& arguments);
exit_code Rollback(command_context& context, const arguments_list& arguments);
exit_code Drain(command_context& context, const arguments_list& arguments);
exit_code Undrain(command_context& context, const arguments_list& arguments);

}  // namespace chivecrank::ctl

#endif  // CHIVECRANK_APPS_CHIVECRANKCTL_CHANGE_COMMANDS_H_
