#include "chivecrank/settings/document.h"

#include <fstream>
#include <sstream>
#include <utility>

#include "internal/state.h"

namespace chivecrank::settings {
namespace {

void RecordUnknownKeys(internal::section_state& state) {
  if (state.table == nullptr)
    return;
  for (const auto& [key, node] : *state.table) {
    if (state.known_keys.contains(key.str()))
      continue;
    state.document->problems.push_back(
        {state.document->file, key.source().begin.line,
         state.prefix + std::string(key.str()), "is not a known key",
         "remove it or correct its spelling"});
  }
}

std::shared_ptr<internal::document_state> Parse(std::string_view text,
                                                std::string name) {
  auto state = std::make_shared<internal::document_state>();
  state->file = std::move(name);
  try {
    state->root = toml::parse(text, state->file);
  } catch (const toml::parse_error& failure) {
    state->problems.push_back({state->file, failure.source().begin.line,
                               "(syntax)", std::string(failure.description()),
                               "correct the TOML at this line"});
  }
  return state;
}

}  // namespace

std::string Describe(const problem& fault) {
  return fault.file + ":" + std::to_string(fault.line) + ": " + fault.key +
         ": " + fault.message + "; " + fault.remedy;
}

document::document(std::shared_ptr<internal::document_state> state)
    : state_(std::move(state)) {}

document document::FromText(std::string_view text, std::string name) {
  return document(Parse(text, std::move(name)));
}

document document::FromFile(const std::string& path) {
  std::ifstream file(path);
  if (file) {
    std::ostringstream text;
    text << file.rdbuf();
    return FromText(text.str(), path);
  }
  document unreadable(std::make_shared<internal::document_state>());
  unreadable.state_->file = path;
  unreadable.state_->problems.push_back(
      {path, 0, "(file)", "can't be read",
       "give the path of a readable file with --settings"});
  return unreadable;
}

section document::Root() {
  auto root = std::make_shared<internal::section_state>();
  root->document = state_.get();
  root->table = &state_->root;
  root->report_missing = state_->problems.empty();
  state_->sections.push_back(root);
  return section(std::move(root));
}

std::vector<problem> document::Finish() {
  for (const auto& table : state_->sections)
    RecordUnknownKeys(*table);
  state_->sections.clear();
  return state_->problems;
}

}  // namespace chivecrank::settings
