// Settings of a load experiment and the functions that read them from an INI
// file.

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

// An inclusive range of token counts or times.
struct Range {
  int64_t low = 0;
  int64_t high = 0;

  auto operator<=>(const Range&) const = default;
};

// Arrival rate, length and message sizes of the chats.
struct ChatPattern {
  std::string model;
  // Arrival rate of turns, summed over all organisations.
  double turns_per_second = 0;
  // Pause between a turn's answer and the chat's next turn, milliseconds.
  Range pause_ms;
  // A chat ends after this many turns, and a new chat replaces it.
  int64_t turns = 0;
  // Token counts of a chat's first message and of each later message.
  Range first_prompt_tokens;
  Range turn_tokens;
  Range answer_tokens;
  // Share of the turns that request a long summary, and the token counts of the
  // request and the summary.
  double summary_share = 0;
  Range summary_prompt_tokens;
  Range summary_answer_tokens;

  auto operator<=>(const ChatPattern&) const = default;
};

// The organisations that send requests. Together, the organisations in `large`
// send the share `large_share` of the turns.
struct OrganisationPattern {
  std::vector<std::string> names;
  std::vector<std::string> large;
  double large_share = 0;

  auto operator<=>(const OrganisationPattern&) const = default;
};

// A period in which some organisations send at a higher rate.
struct SurgePattern {
  std::vector<std::string> organisations;
  core::Duration start = core::Duration::zero();
  core::Duration duration = core::Duration::zero();
  // Multiplier of the organisations' normal rate.
  double factor = 1;

  auto operator<=>(const SurgePattern&) const = default;
};

// Calls to a plain service whose calls must not be executed twice.
struct ServicePattern {
  std::string name;
  std::string path;
  double calls_per_second = 0;
  // Share of the calls that are sent through two hosts at the same time, with
  // the same idempotency key.
  double resend_share = 0;
  // How long a caller keeps retrying one call.
  core::Duration patience = core::Duration::zero();

  auto operator<=>(const ServicePattern&) const = default;
};

// Timeouts and retry limits of a caller.
struct CallerPattern {
  // Idle timeout: a caller abandons a connection and reattaches after this time
  // without a received byte.
  core::Duration silence = core::Duration::zero();
  // Total time after which a caller times out.
  core::Duration patience = core::Duration::zero();
  // Maximum sends of one chat request; reattachments don't count.
  int64_t attempts = 0;
  // Maximum retries of a refused request after Retry-After.
  int64_t returns_after_refusal = 0;

  auto operator<=>(const CallerPattern&) const = default;
};

struct Experiment {
  std::string name;
  uint64_t seed = 1;
  // Period in which requests arrive.
  core::Duration duration = core::Duration::zero();
  // Arrivals before this time are excluded from latencies and cache reuse.
  core::Duration warm_up = core::Duration::zero();
  ChatPattern chats;
  OrganisationPattern organisations;
  SurgePattern surge;
  ServicePattern service;
  CallerPattern caller;

  auto operator<=>(const Experiment&) const = default;
};

// Returns the schema of an experiment file.
const std::vector<core::SettingSpec>& ExperimentSchema();

// Reads the experiment file at `path`. Returns the errors of core::Settings, or
// kSettingsContradiction if keys contradict each other.
absl::StatusOr<Experiment> LoadExperiment(const std::string& path);

// Like LoadExperiment, but parses `text`; error messages use `name` in place of
// the path.
absl::StatusOr<Experiment> ParseExperiment(std::string_view text,
                                           const std::string& name);

}  // namespace wasabi::load

#endif  // UTILITIES_LOAD_EXPERIMENT_H_
