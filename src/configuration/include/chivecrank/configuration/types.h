#ifndef CHIVECRANK_CONFIGURATION_TYPES_H_
#define CHIVECRANK_CONFIGURATION_TYPES_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "chivecrank/coordination/types.h"

/// The configuration made by operators: templates, client accounts, teams and
/// drains.
namespace chivecrank::configuration {

/// Number of an accepted configuration; increases by one with each change.
using revision = std::uint64_t;

/// Type of a parameter whose value a client account sets.
enum class parameter_type { kString, kInteger, kBoolean };

std::string_view ParameterTypeName(parameter_type value);

/// Declares a parameter of a template. `default_value` applies if an account
/// sets no value; a required parameter has none.
struct parameter_declaration {
  std::string name;
  parameter_type type = parameter_type::kString;
  bool required = false;
  std::string default_value;
  std::int64_t min_value = INT64_MIN;
  std::int64_t max_value = INT64_MAX;
};

/// A latency-critical service whose requests are answered by upstreams.
struct service_template {
  std::string name;
  /// Deadline of requests that specify none.
  std::chrono::milliseconds default_deadline{2000};
  /// Longest deadline that a request may specify.
  std::chrono::milliseconds longest_deadline{60'000};
  /// Service level objective: the share of requests that must be answered
  /// within `objective_latency`.
  double objective_ratio = 0.999;
  std::chrono::milliseconds objective_latency{250};
  /// Maximum number of requests waiting in one entry.
  std::int64_t queue_limit = 256;
  std::vector<parameter_declaration> parameters;
};

/// A batch job.
struct job_template {
  std::string name;
  coordination::resources demand;
  /// Expected run time.
  std::chrono::milliseconds run_time{60'000};
  /// Target for the time from submission to completion.
  std::chrono::milliseconds finish_within{8 * 3'600'000};
  /// Whether the job may preempt other batch work.
  bool urgent = false;
  /// Whether a task can resume from a checkpoint.
  bool checkpoints = true;
  /// Number of tasks that must start together.
  std::int64_t gang_size = 1;
  /// Number of distinct workers on which attempts fail before the job is
  /// parked.
  std::int64_t attempt_limit = 3;
  std::vector<parameter_declaration> parameters;
};

/// A parameter value set by a client account.
struct parameter_value {
  std::string template_name;
  std::string name;
  std::string value;
};

/// A client account, which identifies a caller.
struct client_account {
  std::string name;
  std::string team;
  /// SHA-256 of the account's token, in hexadecimal.
  std::string token_hash;
  /// Weight of the account in fair sharing.
  std::int64_t weight = 1;
  /// Maximum number of requests waiting or in flight in one entry.
  std::int64_t request_limit = 64;
  std::vector<parameter_value> parameters;
};

/// A team and its quota of resources for batch jobs.
struct team {
  std::string name;
  coordination::resources quota;
};

enum class drain_scope { kWorker, kRack, kFailureDomain };

std::string_view DrainScopeName(drain_scope value);

/// An operator's request to empty a worker, a rack or a failure domain: no new
/// work is placed there, and running work may finish.
struct drain {
  drain_scope scope = drain_scope::kWorker;
  std::string name;
};

/// A complete configuration.
struct content {
  std::vector<service_template> services;
  std::vector<job_template> jobs;
  std::vector<client_account> accounts;
  std::vector<team> teams;
  std::vector<drain> drains;
};

/// An accepted configuration. Author and time are kept for auditing.
struct snapshot {
  configuration::revision revision = 0;
  std::string author;
  /// Milliseconds since the Unix epoch.
  std::int64_t accepted_at_ms = 0;
  /// Identifies the write, so that it can be recognized in the store after its
  /// response was lost.
  std::string write_id;
  std::string comment;
  configuration::content content;
};

/// An immutable snapshot.
using shared_snapshot = std::shared_ptr<const snapshot>;

/// Each returns the named element of `all`, or null.
const service_template* FindService(const content& all, std::string_view name);
const job_template* FindJob(const content& all, std::string_view name);
const client_account* FindAccount(const content& all, std::string_view name);
const team* FindTeam(const content& all, std::string_view name);

/// Returns the value of a parameter for an account: the one that it sets, or
/// else the default value.
std::string ParameterOf(const client_account& account,
                        const std::string& template_name,
                        const parameter_declaration& declaration);

}  // namespace chivecrank::configuration

#endif  // CHIVECRANK_CONFIGURATION_TYPES_H_
