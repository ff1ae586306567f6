#include "harness/settings_files.h"

#include <sstream>

#include "chivecrank/security/token.h"

namespace chivecrank::harness {
namespace {

std::string Quoted(const std::string& text) {
  return "\"" + text + "\"";
}

std::string Quoted(const settings::endpoint& address) {
  return Quoted(settings::ToString(address));
}

std::string OperatorText(const std::string& name, const std::string& role) {
  return "\n[[operators]]\nname = " + Quoted(name) +
         "\nrole = " + Quoted(role) +
         "\ntoken_hash = " + Quoted(security::HashToken(name + "-token")) +
         "\n";
}

}  // namespace

std::string EntrySettingsText(const instance_addresses& at) {
  std::ostringstream text;
  text << "instance = " << Quoted(at.id) << "\n"
       << "failure_domain = " << Quoted(at.failure_domain) << "\n"
       << "listen = " << Quoted(at.entry) << "\n"
       << "status = " << Quoted(at.entry_status) << "\n"
       << "peer = " << Quoted(at.entry_peer) << "\n"
       << "[platform]\naddress = " << Quoted(at.platform) << "\n"
       << "[scheduler]\naddress = " << Quoted(at.scheduler) << "\n"
       << "[share]\nindex = " << at.index
       << "\nlease_ms = 500\nrun_limit_ms = 500\n";
  for (std::size_t place = 0; place < at.entry_peers.size(); ++place) {
    text << "[[share.entries]]\nfailure_domain = "
         << Quoted(at.peer_domains[place])
         << "\naddress = " << Quoted(at.entry_peers[place]) << "\n";
  }
  return text.str();
}

std::string SchedulerSettingsText(const instance_addresses& at) {
  std::ostringstream text;
  text << "instance = " << Quoted(at.id) << "\n"
       << "failure_domain = " << Quoted(at.failure_domain) << "\n"
       << "listen = " << Quoted(at.scheduler) << "\n"
       << "status = " << Quoted(at.scheduler_status) << "\n"
       << "[platform]\naddress = " << Quoted(at.platform) << "\n"
       << "[leases]\nsession_ms = 2000\nclock_margin_ms = 300\n"
       << "task_ms = 2000\n";
  return text.str();
}

std::string AdminSettingsText(const instance_addresses& at) {
  std::ostringstream text;
  text << "instance = " << Quoted(at.id) << "\n"
       << "failure_domain = " << Quoted(at.failure_domain) << "\n"
       << "listen = " << Quoted(at.admin) << "\n"
       << "status = " << Quoted(at.admin_status) << "\n"
       << "[platform]\naddress = " << Quoted(at.platform) << "\n"
       << OperatorText("mere", "administrator")
       << OperatorText("jone", "editor") << OperatorText("sala", "viewer");
  return text.str();
}

}  // namespace chivecrank::harness
