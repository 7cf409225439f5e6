// An in-memory stream of the platform's log that performs no I/O.

#ifndef TESTS_LIBINTENT_FAKE_LOG_H_
#define TESTS_LIBINTENT_FAKE_LOG_H_

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "LibPlatform/log_client.h"

namespace wasabi::intent {

class FakeLog {
 public:
  // Returns the offset of the new record.
  platform::Offset Append(std::string body) {
    bodies_.push_back(std::move(body));
    return end() - 1;
  }

  // Drops the records before `offset`.
  void TrimBefore(platform::Offset offset) {
    first_kept_ = std::max(first_kept_, std::min(offset, end()));
  }

  platform::Offset first_retained() const { return first_kept_; }
  platform::Offset end() const {
    return static_cast<platform::Offset>(bodies_.size());
  }
  const std::string& body(platform::Offset offset) const {
    return bodies_[static_cast<size_t>(offset)];
  }

  // Returns at most `limit` records starting at `from`, as a server would whose
  // copy of the log ends at `seen_end`.
  platform::LogPage Read(platform::Offset from,
                         platform::Offset seen_end,
                         platform::Offset limit) const {
    platform::LogPage page;
    page.first_retained = first_kept_;
    page.end = std::min(seen_end, end());
    const platform::Offset stop = std::min(page.end, from + limit);
    for (platform::Offset at = std::max(from, first_kept_); at < stop; ++at) {
      page.records.push_back({at, body(at)});
    }
    return page;
  }

 private:
  std::vector<std::string> bodies_;
  platform::Offset first_kept_ = 0;
};

}  // namespace wasabi::intent

#endif  // TESTS_LIBINTENT_FAKE_LOG_H_
