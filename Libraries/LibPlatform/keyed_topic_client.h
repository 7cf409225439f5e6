// Interface to the keyed topics of the platform's log, which retain the newest
// record of each key.

#ifndef LIBPLATFORM_KEYED_TOPIC_CLIENT_H_
#define LIBPLATFORM_KEYED_TOPIC_CLIENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/time.h"
#include "LibPlatform/log_client.h"
#include "absl/status/statusor.h"

namespace wasabi::platform {

// Number of a history of the platform's log. It rises whenever the platform is
// restored from a backup: records that were written after the backup are gone,
// and their offsets are assigned again. 0 if the platform does not state it.
using LogEpoch = int64_t;

struct KeyedRecord {
  std::string key;
  // nullopt if the key was deleted.
  std::optional<std::string> value;
  Offset offset = 0;

  auto operator<=>(const KeyedRecord&) const = default;
};

struct KeyedPage {
  std::vector<KeyedRecord> records = {};
  // Offsets of records that can't be decoded; their keys are unknown.
  std::vector<Offset> unreadable = {};
  // The offset at which the next read continues.
  Offset next = 0;
  // The history that the records belong to.
  LogEpoch epoch = 0;
  // The topic ended later than `next` when it was read.
  bool lacks_newer_records = false;
};

class KeyedTopicClient {
 public:
  using ReadCallback = std::function<void(absl::StatusOr<KeyedPage>)>;
  // Receives the history in which the record was written.
  using WriteCallback = std::function<void(absl::StatusOr<LogEpoch>)>;

  virtual ~KeyedTopicClient() = default;

  // Reads the newest record of every key. Records at or after the page's `next`
  // may or may not be included. Error: kPlatformUnavailable.
  virtual void ReadNewest(const std::string& topic, ReadCallback callback) = 0;

  // Reads the records from `from` on, waiting up to `wait` for the first one.
  // Errors: kPlatformUnavailable; kRecordsTruncated when `from` is no longer
  // retained, or does not exist since the platform was restored.
  virtual void ReadFrom(const std::string& topic,
                        Offset from,
                        core::Duration wait,
                        ReadCallback callback) = 0;

  // Writes `value` as the newest record of `key`. Error: kAppendUncertain.
  virtual void Put(const std::string& topic,
                   const std::string& key,
                   const std::string& value,
                   WriteCallback callback) = 0;
};

}  // namespace wasabi::platform

#endif  // LIBPLATFORM_KEYED_TOPIC_CLIENT_H_
