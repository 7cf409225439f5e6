#include "LibRouting/fair_queue.h"

#include <algorithm>
#include <utility>

namespace wasabi::routing {

namespace {

constexpr double kMinimumWeight = 1e-3;

}  // namespace

void FairQueue::Push(WaitingItem waiting) {
  const Priority priority = waiting.item.priority;
  PriorityClass& priority_class = classes_[priority];
  Position position = {
      .start = Reserve(priority_class, waiting.item, waiting.tokens),
      .sequence = next_sequence_++};
  if (waiting.item.has_returned) {
    position =
        TakeFirstPlace(priority_class, waiting.item.organisation, position);
  }
  tokens_ += waiting.tokens;
  locations_[waiting.item.request] = {priority, position};
  priority_class.waiting.emplace(position, std::move(waiting));
}

const WaitingItem* FairQueue::Front() const {
  for (const auto& [priority, it] : classes_) {
    if (!it.waiting.empty()) {
      return &it.waiting.begin()->second;
    }
  }
  return nullptr;
}

WaitingItem FairQueue::Pop() {
  const Location location = locations_.at(Front()->item.request);
  AdvanceVirtualTime(classes_.at(location.priority), location.position.start);
  return Extract(location);
}

void FairQueue::Charge(const WorkItem& item, double tokens) {
  PriorityClass& priority_class = classes_[item.priority];
  const double start = Reserve(priority_class, item, tokens);
  AdvanceVirtualTime(priority_class, start);
}

const WaitingItem* FairQueue::Find(const core::RequestId& request) const {
  const auto it = locations_.find(request);
  return it == locations_.end() ? nullptr
                                : &classes_.at(it->second.priority)
                                       .waiting.at(it->second.position);
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
  for (const auto& [priority, priority_class] : classes_) {
    for (const auto& [position, waiting] : priority_class.waiting) {
      if (predicate(waiting)) {
        selected.push_back(waiting.item.request);
      }
    }
  }
  return selected;
}

void FairQueue::Secure(const core::RequestId& request) {
  const auto it = locations_.find(request);
  if (it == locations_.end()) {
    return;
  }
  auto& waiting = classes_.at(it->second.priority).waiting;
  auto node = waiting.extract(it->second.position);
  it->second.position.is_unsecured = false;
  node.key() = it->second.position;
  waiting.insert(std::move(node));
}

void FairQueue::RecordStart(const core::RequestId& request) {
  const auto it = locations_.find(request);
  if (it != locations_.end()) {
    AdvanceVirtualTime(classes_.at(it->second.priority),
                       it->second.position.start);
  }
}

size_t FairQueue::CountAhead(Priority priority) const {
  size_t count = 0;
  for (const auto& [it, priority_class] : classes_) {
    count += it <= priority ? priority_class.waiting.size() : 0;
  }
  return count;
}

size_t FairQueue::CountAhead(const WorkItem& item) const {
  const auto found = classes_.find(item.priority);
  if (found == classes_.end()) {
    return CountAhead(item.priority);
  }
  const PriorityClass& priority_class = found->second;
  Position position = {.start = StartOf(priority_class, item),
                       .sequence = next_sequence_};
  if (item.has_returned) {
    for (const auto& [place, waiting] : priority_class.waiting) {
      if (waiting.item.organisation == item.organisation &&
          !waiting.item.has_returned && place.is_unsecured) {
        position = std::min(position, place);
        break;
      }
    }
  }
  return CountBefore(item.priority, position);
}

size_t FairQueue::CountAhead(const core::RequestId& request) const {
  const auto it = locations_.find(request);
  return it == locations_.end()
             ? 0
             : CountBefore(it->second.priority, it->second.position);
}

size_t FairQueue::SizeOf(Priority priority) const {
  const auto it = classes_.find(priority);
  return it == classes_.end() ? 0 : it->second.waiting.size();
}

size_t FairQueue::CountBefore(Priority priority,
                              const Position& position) const {
  const auto& waiting = classes_.at(priority).waiting;
  const auto in_class = static_cast<size_t>(
      std::distance(waiting.begin(), waiting.lower_bound(position)));
  return CountAhead(priority) - waiting.size() + in_class;
}

FairQueue::Position FairQueue::TakeFirstPlace(
    PriorityClass& priority_class,
    const core::OrganisationId& organisation,
    Position last) {
  std::vector<Position> places;
  for (const auto& [place, waiting] : priority_class.waiting) {
    if (waiting.item.organisation == organisation &&
        !waiting.item.has_returned && place.is_unsecured) {
      places.push_back(place);
    }
  }
  for (auto it = places.rbegin(); it != places.rend(); ++it) {
    auto node = priority_class.waiting.extract(*it);
    node.key() = last;
    locations_.at(node.mapped().item.request).position = last;
    priority_class.waiting.insert(std::move(node));
    last = *it;
  }
  return last;
}

double FairQueue::Reserve(PriorityClass& priority_class,
                          const WorkItem& item,
                          double tokens) {
  const double start = StartOf(priority_class, item);
  priority_class.finish_times[item.organisation] =
      start + tokens / std::max(kMinimumWeight, item.organisation_weight);
  return start;
}

double FairQueue::StartOf(const PriorityClass& priority_class,
                          const WorkItem& item) {
  const double backlog = item.organisation_backlog /
                         std::max(kMinimumWeight, item.organisation_weight);
  const double start = priority_class.virtual_time + backlog;
  const auto finish = priority_class.finish_times.find(item.organisation);
  return finish == priority_class.finish_times.end()
             ? start
             : std::max(start, finish->second);
}

void FairQueue::AdvanceVirtualTime(PriorityClass& priority_class,
                                   double start) {
  priority_class.virtual_time = std::max(priority_class.virtual_time, start);
  absl::erase_if(priority_class.finish_times, [&](const auto& it) {
    return it.second <= priority_class.virtual_time;
  });
}

WaitingItem FairQueue::Extract(const Location& location) {
  auto node = classes_.at(location.priority).waiting.extract(location.position);
  WaitingItem waiting = std::move(node.mapped());
  locations_.erase(waiting.item.request);
  tokens_ = locations_.empty() ? 0 : tokens_ - waiting.tokens;
  return waiting;
}

}  // namespace wasabi::routing
