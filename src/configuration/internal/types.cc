#include "chivecrank/configuration/types.h"

namespace chivecrank::configuration {
namespace {

template <class T>
const T* FindNamed(const std::vector<T>& items, std::string_view name) {
  for (const T& item : items) {
    if (item.name == name)
      return &item;
  }
  return nullptr;
}

}  // namespace

std::string_view ParameterTypeName(parameter_type value) {
  switch (value) {
    case parameter_type::kString:
      return "string";
    case parameter_type::kInteger:
      return "integer";
    case parameter_type::kBoolean:
      return "boolean";
  }
  return "unknown";
}

std::string_view DrainScopeName(drain_scope value) {
  switch (value) {
    case drain_scope::kWorker:
      return "worker";
    case drain_scope::kRack:
      return "rack";
    case drain_scope::kFailureDomain:
      return "failure_domain";
  }
  return "unknown";
}

const service_template* FindService(const content& all, std::string_view name) {
  return FindNamed(all.services, name);
}

const job_template* FindJob(const content& all, std::string_view name) {
  return FindNamed(all.jobs, name);
}

const client_account* FindAccount(const content& all, std::string_view name) {
  return FindNamed(all.accounts, name);
}

const team* FindTeam(const content& all, std::string_view name) {
  return FindNamed(all.teams, name);
}

std::string ParameterOf(const client_account& account,
                        const std::string& template_name,
                        const parameter_declaration& declaration) {
  for (const parameter_value& given : account.parameters) {
    if (given.template_name == template_name && given.name == declaration.name)
      return given.value;
  }
  return declaration.default_value;
}

}  // namespace chivecrank::configuration
