#include "admin_settings.h"

#include "chivecrank/coordination/resilient_store_settings_reader.h"
#include "chivecrank/membership/peer_settings.h"
#include "chivecrank/security/token.h"

namespace chivecrank {
namespace {

constexpr settings::integer_range kTimeoutMilliseconds{10, 60'000};

operators::operator_account ReadOperator(settings::section& entry) {
  operators::operator_account account;
  account.name = entry.String("name");
  const std::string role = entry.String("role");
  const auto known = operators::OperatorRoleFromName(role);
  if (known)
    account.role = *known;
  else if (!role.empty())
    entry.Reject("role", "is \"" + role + "\", not a role",
                 "give viewer, editor or administrator");
  account.token_hash = entry.String("token_hash");
  if (!account.token_hash.empty() &&
      !security::IsTokenHash(account.token_hash)) {
    entry.Reject("token_hash", "is not a SHA-256 hash",
                 "make one with: chivecrankctl hash-token");
  }
  return account;
}

}  // namespace

admin_settings ReadAdminSettings(settings::section& root) {
  admin_settings read;
  read.instance = root.String("instance");
  read.failure_domain = root.StringOr("failure_domain", "");
  read.peers = membership::ReadPeerPorts(root);
  read.listen = root.Endpoint("listen");
  read.status = root.Endpoint("status");
  if (read.listen.port != 0 && read.listen == read.status)
    root.Reject("status", "is the same address as listen",
                "give the two different ports");
  settings::section store = root.Table("platform");
  read.platform = store.Endpoint("address");
  read.guard = coordination::ReadResilientStoreSettings(store);
  read.store_timeout = store.MillisecondsOr("timeout_ms", kTimeoutMilliseconds,
                                            read.store_timeout);
  for (settings::section& entry : root.Tables("operators"))
    read.operators.push_back(ReadOperator(entry));
  if (read.operators.empty())
    root.Reject("operators", "is empty",
                "add an [[operators]] table with name, role and token_hash");
  return read;
}

}  // namespace chivecrank
