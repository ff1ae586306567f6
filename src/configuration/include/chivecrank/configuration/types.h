#ifndef CHIVECRANK_CONFIGURATION_TYPES_H_
#define CHIVECRANK_CONFIGURATION_TYPES_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "chivecrank/coordination/types.h"

/// What operators configure: templates, client accounts, teams and drains.
namespace chivecrank::configuration {

/// Number of an accepted configuration; grows by one with each change.
using revision = std::uint64_t;

/// A typed parameter that a client account fills in.
enum class parameter_type { kString, kInteger, kBoolean };

std::string_view ParameterTypeName(parameter_type value);

/// Declares a parameter of a template. `fallback` holds when an account gives
/// no value; a required parameter has none.
struct parameter_declaration {
  std::string name;
  parameter_type type = parameter_type::kString;
  bool required = false;
  std::string default_value;
  std::int64_t min_value = INT64_MIN;
  std::int64_t max_value = INT64_MAX;
};

/// A latency-critical service that upstreams answer.
struct service_template {
  std::string name;
  /// Deadline of a request that states none.
  std::chrono::milliseconds default_deadline{2000};
  /// Longest deadline that a request may state.
  std::chrono::milliseconds longest_deadline{60'000};
  /// Objective: this share of requests is answered within `objective_latency`.
  double objective_ratio = 0.999;
  std::chrono::milliseconds objective_latency{250};
  /// Requests that wait in one entry at most.
  std::int64_t queue_limit = 256;
  std::vector<parameter_declaration> parameters;
};

/// A batch job.
struct job_template {
  std::string name;
  coordination::resources demand;
  /// Expected run time.
  std::chrono::milliseconds run_time{60'000};
  /// Time from submission by which the job should be done.
  std::chrono::milliseconds finish_within{8 * 3'600'000};
  /// Urgent work preempts other batch work.
  bool urgent = false;
  /// Whether a task can resume from a checkpoint.
  bool checkpoints = true;
  /// Tasks that start together or not at all.
  std::int64_t gang_size = 1;
  /// Attempts that fail on distinct workers before the job is parked.
  std::int64_t attempt_limit = 3;
  std::vector<parameter_declaration> parameters;
};

/// A parameter value that a client account filled in.
struct parameter_value {
  std::string template_name;
  std::string name;
  std::string value;
};

/// A client account: who calls.
struct client_account {
  std::string name;
  std::string team;
  /// SHA-256 of the account's token, in hexadecimal.
  std::string token_hash;
  /// Weight in fair shares.
  std::int64_t weight = 1;
  /// Requests in flight or waiting in one entry at most.
  std::int64_t request_limit = 64;
  std::vector<parameter_value> parameters;
};

/// A team with its quota of batch resources.
struct team {
  std::string name;
  coordination::resources quota;
};

/// What a drain empties.
enum class drain_scope { kWorker, kRack, kFailureDomain };

std::string_view DrainScopeName(drain_scope value);

/// An operator's order to empty a worker, a rack or a failure domain.
struct drain {
  drain_scope scope = drain_scope::kWorker;
  std::string name;
};

/// A whole configuration.
struct content {
  std::vector<service_template> services;
  std::vector<job_template> jobs;
  std::vector<client_account> accounts;
  std::vector<team> teams;
  std::vector<drain> drains;
};

/// An accepted configuration. Author and time are for the audit history.
struct snapshot {
  configuration::revision revision = 0;
  std::string author;
  /// Milliseconds since the epoch.
  std::int64_t accepted_at_ms = 0;
  /// Identifies the write, so that a lost answer can be read back.
  std::string write_id;
  std::string comment;
  configuration::content content;
};

/// A snapshot that no one changes any more.
using shared_snapshot = std::shared_ptr<const snapshot>;

/// The named element, or null.
const service_template* FindService(const content& all, std::string_view name);
const job_template* FindJob(const content& all, std::string_view name);
const client_account* FindAccount(const content& all, std::string_view name);
const team* FindTeam(const content& all, std::string_view name);

/// The value of a parameter for an account: its own or the declared fallback.
std::string ParameterOf(const client_account& account,
                        const std::string& template_name,
                        const parameter_declaration& declaration);

}  // namespace chivecrank::configuration

#endif  // CHIVECRANK_CONFIGURATION_TYPES_H_
