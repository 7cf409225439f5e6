// The faults that POST /faults injects into the platform stand-in.

#ifndef TESTS_SUPPORT_PLATFORM_FAULTS_H_
#define TESTS_SUPPORT_PLATFORM_FAULTS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "LibCore/random_source.h"
#include "LibPlatform/log_client.h"
#include "absl/status/status.h"

namespace wasabi::standin {

// What happens to the answer to an append that took effect: it is sent, the
// connection is aborted, or the connection stays open without an answer.
enum class AppendAnswer { kSent, kConnectionAborted, kLostSilently };

class Faults {
 public:
  explicit Faults(uint64_t seed) : random_(seed) {}

  // Changes the faults that are keys of the JSON object `text` and keeps the
  // others:
  //   outage                   bool: all calls that an outage affects return
  //   503 answer_delay_ms          delay of answers to reads and appends
  //   lose_append_answers      number of next appends that take effect
  //   unanswered lose_append_probability  probability that an append takes
  //   effect unanswered lose_silently            bool: lose answers without
  //   closing the connection stale_records            number of newest records
  //   that are hidden from reads
  // Returns ResultCode::kMalformedRequest and changes nothing if a key is
  // unknown or its value has the wrong type.
  absl::Status Apply(std::string_view text);

  // Decides what happens to the answer to the next append that took effect.
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
