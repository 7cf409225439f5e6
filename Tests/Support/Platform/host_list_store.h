// The host list of the platform stand-in. Changes become visible after a lag.

#ifndef TESTS_SUPPORT_PLATFORM_HOST_LIST_STORE_H_
#define TESTS_SUPPORT_PLATFORM_HOST_LIST_STORE_H_

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "LibCore/time.h"
#include "LibPlatform/host_list_client.h"

namespace wasabi::standin {

class HostListStore {
 public:
  // Changes become visible `lag` after they are made, in the same order.
  explicit HostListStore(core::Duration lag);

  void Put(const platform::ListedHost& host, core::TimePoint now);
  void Remove(const std::string& id, core::TimePoint now);

  // Returns the visible list; without hosts if its version is `known_version`.
  platform::HostList Read(uint64_t known_version, core::TimePoint now);

 private:
  struct Change {
    core::TimePoint visible_at;
    std::string id;
    // The new row, or nullopt if the host is removed.
    std::optional<platform::ListedHost> host;
  };

  void ApplyVisible(core::TimePoint now);

  const core::Duration lag_;
  std::deque<Change> pending_;
  uint64_t version_ = 1;
  std::map<std::string, platform::ListedHost> hosts_;
};

}  // namespace wasabi::standin

#endif  // TESTS_SUPPORT_PLATFORM_HOST_LIST_STORE_H_
