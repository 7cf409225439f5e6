#include "Tests/Support/Platform/log_store.h"

#include <algorithm>
#include <utility>

#include "LibCore/result_code.h"

namespace wasabi::standin {

using platform::LogPage;
using platform::Offset;

LogStore::LogStore(size_t retention_records)
    : retention_records_(retention_records) {}

Offset LogStore::Append(const std::string& stream, std::string body) {
  Stream& it = streams_[stream];
  const Offset offset = it.end();
  it.bodies.push_back(std::move(body));
  if (it.bodies.size() > retention_records_) {
    it.bodies.pop_front();
    ++it.first;
  }
  return offset;
}

absl::StatusOr<LogPage> LogStore::Read(const std::string& stream,
                                       Offset from,
                                       size_t limit,
                                       Offset stale_by) const {
  LogPage page = Bounds(stream, stale_by);
  if (from < page.first_retained) {
    return core::MakeStatus(core::ResultCode::kRecordsTruncated,
                            "the requested records are no longer retained");
  }
  const auto it = streams_.find(stream);
  if (it == streams_.end()) {
    return page;
  }
  for (Offset i = from; i < page.end && page.records.size() < limit; ++i) {
    const auto index = static_cast<size_t>(i - it->second.first);
    page.records.push_back({i, it->second.bodies[index]});
  }
  return page;
}

LogPage LogStore::Bounds(const std::string& stream, Offset stale_by) const {
  LogPage page;
  const auto it = streams_.find(stream);
  if (it != streams_.end()) {
    page.first_retained = it->second.first;
    page.end = std::max(it->second.first, it->second.end() - stale_by);
  }
  return page;
}

void LogStore::TrimBefore(const std::string& stream, Offset offset) {
  Stream& it = streams_[stream];
  while (it.first < offset && !it.bodies.empty()) {
    it.bodies.pop_front();
    ++it.first;
  }
}

void LogStore::Truncate(const std::string& stream, Offset end) {
  Stream& it = streams_[stream];
  while (it.end() > end && !it.bodies.empty()) {
    it.bodies.pop_back();
  }
}

}  // namespace wasabi::standin
