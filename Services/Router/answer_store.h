// Stores answers by organisation and request id, so that callers can reattach
// to them.

#ifndef SERVICES_ROUTER_ANSWER_STORE_H_
#define SERVICES_ROUTER_ANSWER_STORE_H_

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "Services/Router/answer_record.h"

namespace wasabi::router {

// Returns the key of an answer. It is unique across the fleet.
std::string AnswerKey(const core::OrganisationId& organisation,
                      const core::RequestId& request);

// Maps answer keys to records, bounded by age and size.
class AnswerStore {
 public:
  // Finished answers expire after `lifetime`. All answers together use at most
  // `max_bytes`; the oldest are evicted first.
  AnswerStore(core::Duration lifetime, size_t max_bytes)
      : lifetime_(lifetime), max_bytes_(max_bytes) {}

  // Stores `record` under `key`, replacing an earlier record.
  void Put(const std::string& key,
           const std::shared_ptr<AnswerRecord>& record,
           core::TimePoint now);

  // Same as Put, but has no effect if `key` already has a record that has not
  // failed. The entry router's record starts at chunk 0 and therefore takes
  // precedence over the owner's record, which may start later.
  void PutIfAbsent(const std::string& key,
                   const std::shared_ptr<AnswerRecord>& record,
                   core::TimePoint now);

  // Returns the record for `key`, or nullptr.
  std::shared_ptr<AnswerRecord> Find(const std::string& key) const;

  // Removes expired finished answers, then the oldest answers until the total
  // size is within the limit.
  void Trim(core::TimePoint now);

  size_t size() const { return records_.size(); }

 private:
  struct Entry {
    std::string key;
    std::shared_ptr<AnswerRecord> record;
    core::TimePoint put_at;
  };

  void DropOldest();

  core::Duration lifetime_;
  size_t max_bytes_;
  std::unordered_map<std::string, std::shared_ptr<AnswerRecord>> records_;
  std::deque<Entry> by_age_;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_ANSWER_STORE_H_
