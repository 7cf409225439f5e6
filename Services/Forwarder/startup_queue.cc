#include "Services/Forwarder/startup_queue.h"

#include <utility>

namespace wasabi::forwarder {

bool StartupQueue::Hold(const TransactionPointer& transaction,
                        core::TimePoint now) {
  const size_t bytes = bytes_ + transaction->request().body.size();
  if (IsOver(now) || held_.size() >= kMaxRequests || bytes > kMaxBytes) {
    return false;
  }
  bytes_ = bytes;
  held_.push_back(transaction);
  return true;
}

std::vector<StartupQueue::TransactionPointer> StartupQueue::TakeAll() {
  bytes_ = 0;
  std::vector<TransactionPointer> taken = std::exchange(held_, {});
  std::erase_if(taken, [](const TransactionPointer& transaction) {
    return !transaction->is_open();
  });
  return taken;
}

}  // namespace wasabi::forwarder
