// Answers that callers may still reattach to, by organisation and request.

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

// Names an answer across the fleet.
std::string AnswerName(const core::OrganisationId& organisation,
                       const core::RequestId& request);

class AnswerStore {
 public:
  // Finished answers are kept for `lifetime`, and all answers together for at
  // most `max_bytes`; the oldest go first.
  AnswerStore(core::Duration lifetime, size_t max_bytes)
      : lifetime_(lifetime), max_bytes_(max_bytes) {}

  // Keeps `record` under `name`, replacing an earlier one.
  void Put(const std::string& name,
           const std::shared_ptr<AnswerRecord>& record,
           core::TimePoint now);

  // As Put, where no unbroken answer is kept under `name`: the entry's record,
  // which holds the answer from its beginning, goes before the owner's.
  void PutIfAbsent(const std::string& name,
                   const std::shared_ptr<AnswerRecord>& record,
                   core::TimePoint now);

  // The answer `name`, or nullptr.
  std::shared_ptr<AnswerRecord> Find(const std::string& name) const;

  // Drops what is too old or too much.
  void Trim(core::TimePoint now);

  size_t size() const { return records_.size(); }

 private:
  struct Entry {
    std::string name;
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
