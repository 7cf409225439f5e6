// The settings of an experiment, read from an INI file.

#ifndef UTILITIES_LOAD_EXPERIMENT_H_
#define UTILITIES_LOAD_EXPERIMENT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "LibCore/settings.h"
#include "LibCore/time.h"
#include "absl/status/statusor.h"

namespace wasabi::load {

// A range of tokens or times, both ends included.
struct Range {
  int64_t low = 0;
  int64_t high = 0;

  auto operator<=>(const Range&) const = default;
};

// How chats come and go.
struct ChatPattern {
  std::string model;
  // Arrivals of turns over all organisations.
  double turns_per_second = 0;
  // Pause between a turn's answer and the chat's next turn, milliseconds.
  Range pause_ms;
  // Chats end after this many turns; a new one takes the place.
  int64_t turns = 0;
  // Tokens of a chat's first message and of each later one.
  Range first_prompt_tokens;
  Range turn_tokens;
  Range answer_tokens;
  // Share of the turns that ask for a long summary, and its sizes.
  double summary_share = 0;
  Range summary_prompt_tokens;
  Range summary_answer_tokens;

  auto operator<=>(const ChatPattern&) const = default;
};

// Who calls. The large organisations share `large_share` of the turns.
struct OrganisationPattern {
  std::vector<std::string> names;
  std::vector<std::string> large;
  double large_share = 0;

  auto operator<=>(const OrganisationPattern&) const = default;
};

// A time in which a few organisations send more.
struct SurgePattern {
  std::vector<std::string> organisations;
  core::Duration start = core::Duration::zero();
  core::Duration duration = core::Duration::zero();
  // Factor on the organisations' usual rate.
  double factor = 1;

  auto operator<=>(const SurgePattern&) const = default;
};

// Calls to a plain service that may not be repeated.
struct ServicePattern {
  std::string name;
  std::string path;
  double calls_per_second = 0;
  // Share of the calls that are sent twice at once, through two hosts.
  double resend_share = 0;
  // A caller sends one call again for this long.
  core::Duration patience = core::Duration::zero();

  auto operator<=>(const ServicePattern&) const = default;
};

// How a caller behaves.
struct CallerPattern {
  // A connection without a byte for this long counts as silent.
  core::Duration silence = core::Duration::zero();
  // A caller gives up after this time.
  core::Duration patience = core::Duration::zero();
  // Sends of one chat request; reattachments don't count.
  int64_t attempts = 0;
  // How often a refused request comes back after Retry-After.
  int64_t returns_after_refusal = 0;

  auto operator<=>(const CallerPattern&) const = default;
};

struct Experiment {
  std::string name;
  uint64_t seed = 1;
  // Time in which requests arrive.
  core::Duration duration = core::Duration::zero();
  // Arrivals before this time are left out of latencies and cache reuse.
  core::Duration warm_up = core::Duration::zero();
  ChatPattern chats;
  OrganisationPattern organisations;
  SurgePattern surge;
  ServicePattern service;
  CallerPattern caller;

  auto operator<=>(const Experiment&) const = default;
};

// The schema of an experiment file.
const std::vector<core::SettingSpec>& ExperimentSchema();

// Reads the experiment in `path`; errors are those of core::Settings, and
// kSettingsContradiction where two keys don't fit together.
absl::StatusOr<Experiment> LoadExperiment(const std::string& path);

// As LoadExperiment, from text; `name` stands for the file in errors.
absl::StatusOr<Experiment> ParseExperiment(std::string_view text,
                                           const std::string& name);

}  // namespace wasabi::load

#endif  // UTILITIES_LOAD_EXPERIMENT_H_
