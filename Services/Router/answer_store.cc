#include "Services/Router/answer_store.h"

namespace wasabi::router {

std::string AnswerKey(const core::OrganisationId& organisation,
                      const core::RequestId& request) {
  return organisation.value() + '\n' + request.value();
}

void AnswerStore::Put(const std::string& key,
                      const std::shared_ptr<AnswerRecord>& record,
                      core::TimePoint now) {
  records_[key] = record;
  by_age_.push_back({key, record, now});
}

void AnswerStore::PutIfAbsent(const std::string& key,
                              const std::shared_ptr<AnswerRecord>& record,
                              core::TimePoint now) {
  const std::shared_ptr<AnswerRecord> kept = Find(key);
  if (kept == nullptr || kept->has_failed()) {
    Put(key, record, now);
  }
}

std::shared_ptr<AnswerRecord> AnswerStore::Find(const std::string& key) const {
  const auto it = records_.find(key);
  return it == records_.end() ? nullptr : it->second;
}

void AnswerStore::Trim(core::TimePoint now) {
  while (!by_age_.empty() && by_age_.front().put_at + lifetime_ < now) {
    if (!by_age_.front().record->is_finished()) {
      // An unfinished answer is still growing. It moves to the back of the
      // queue and is checked again after another lifetime.
      by_age_.front().put_at = now;
      by_age_.push_back(by_age_.front());
      by_age_.pop_front();
      continue;
    }
    DropOldest();
  }
  size_t bytes = 0;
  for (const Entry& entry : by_age_) {
    bytes += entry.record->bytes();
  }
  while (bytes > max_bytes_ && !by_age_.empty()) {
    bytes -= by_age_.front().record->bytes();
    DropOldest();
  }
}

void AnswerStore::DropOldest() {
  const Entry& oldest = by_age_.front();
  const auto it = records_.find(oldest.key);
  if (it != records_.end() && it->second == oldest.record) {
    records_.erase(it);
  }
  by_age_.pop_front();
}

}  // namespace wasabi::router
