#include "LibRouting/fair_queue.h"

#include <algorithm>
#include <utility>

namespace wasabi::routing {

void FairQueue::Push(WaitingItem waiting) {
  const auto class_index = static_cast<size_t>(waiting.item.priority);
  PriorityClass& priority_class = classes_.at(class_index);
  const Position position = {
      Reserve(priority_class, waiting.item, waiting.tokens), next_sequence_++};
  tokens_ += waiting.tokens;
  locations_[waiting.item.request] = {class_index, position};
  priority_class.waiting.emplace(position, std::move(waiting));
}

const WaitingItem* FairQueue::Front() const {
  for (const PriorityClass& it : classes_) {
    if (!it.waiting.empty()) {
      return &it.waiting.begin()->second;
    }
  }
  return nullptr;
}

WaitingItem FairQueue::Pop() {
  const Location location = locations_.at(Front()->item.request);
  AdvanceVirtualTime(classes_.at(location.class_index),
                     location.position.start);
  return Extract(location);
}

void FairQueue::Charge(const WorkItem& item, double tokens) {
  PriorityClass& priority_class =
      classes_.at(static_cast<size_t>(item.priority));
  const double start = Reserve(priority_class, item, tokens);
  AdvanceVirtualTime(priority_class, start);
}

std::optional<WaitingItem> FairQueue::Remove(const core::RequestId& request) {
  const auto it = locations_.find(request);
  if (it == locations_.end()) {
    return std::nullopt;
  }
  return Extract(it->second);
}

std::vector<core::RequestId> FairQueue::Select(
    const std::function<bool(const WaitingItem&)>& predicate) const {
  std::vector<core::RequestId> selected;
  for (const PriorityClass& priority_class : classes_) {
    for (const auto& [position, waiting] : priority_class.waiting) {
      if (predicate(waiting)) {
        selected.push_back(waiting.item.request);
      }
    }
  }
  return selected;
}

size_t FairQueue::CountAhead(Priority priority) const {
  size_t count = 0;
  for (size_t i = 0; i <= static_cast<size_t>(priority); ++i) {
    count += classes_.at(i).waiting.size();
  }
  return count;
}

double FairQueue::Reserve(PriorityClass& priority_class,
                          const WorkItem& item,
                          double tokens) {
  constexpr double kMinimumWeight = 1e-3;
  double& finish = priority_class.finish_times[item.organisation];
  const double start = std::max(priority_class.virtual_time, finish);
  finish = start + tokens / std::max(kMinimumWeight, item.organisation_weight);
  return start;
}

void FairQueue::AdvanceVirtualTime(PriorityClass& priority_class,
                                   double start) {
  priority_class.virtual_time = std::max(priority_class.virtual_time, start);
  absl::erase_if(priority_class.finish_times, [&](const auto& it) {
    return it.second <= priority_class.virtual_time;
  });
}

WaitingItem FairQueue::Extract(const Location& location) {
  auto node =
      classes_.at(location.class_index).waiting.extract(location.position);
  WaitingItem waiting = std::move(node.mapped());
  locations_.erase(waiting.item.request);
  tokens_ = locations_.empty() ? 0 : tokens_ - waiting.tokens;
  return waiting;
}

}  // namespace wasabi::routing
