// The faults that a test asks the platform stand-in for by POST /faults.

#ifndef TESTS_SUPPORT_PLATFORM_FAULTS_H_
#define TESTS_SUPPORT_PLATFORM_FAULTS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "LibCore/random_source.h"
#include "LibPlatform/log_client.h"
#include "absl/status/status.h"

namespace wasabi::standin {

// What happens to the answer of an append that took effect.
enum class AppendAnswer { kGiven, kConnectionClosed, kSilence };

class Faults {
 public:
  explicit Faults(uint64_t seed) : random_(seed) {}

  // Changes the faults that the JSON object `text` names and leaves the others:
  //   outage                   bool: every read and append is answered 503
  //   answer_delay_ms          answers to reads and appends wait that long
  //   lose_append_answers      so many next appends take effect unanswered
  //   lose_append_probability  chance that an append takes effect unanswered
  //   lose_silently            bool: a lost answer is silence, not a close
  //   stale_records            reads hide so many of the newest records
  // An unknown key or a value of another type changes nothing and is
  // ResultCode::kMalformedRequest.
  absl::Status Apply(std::string_view text);

  // Decides on the answer to one append that took effect.
  AppendAnswer NextAppendAnswer();

  bool is_outage() const { return settings_.is_outage; }
  int64_t answer_delay_ms() const { return settings_.answer_delay_ms; }
  platform::Offset stale_records() const { return settings_.stale_records; }

 private:
  struct Settings {
    bool is_outage = false;
    int64_t answer_delay_ms = 0;
    int64_t lose_append_answers = 0;
    double lose_append_probability = 0;
    bool lose_silently = false;
    platform::Offset stale_records = 0;
  };

  struct Key;

  Settings settings_;
  core::RandomSource random_;
};

}  // namespace wasabi::standin

#endif  // TESTS_SUPPORT_PLATFORM_FAULTS_H_
