#include "Tests/Support/Platform/host_list_store.h"

namespace wasabi::standin {

using platform::HostList;
using platform::ListedHost;

HostListStore::HostListStore(core::Duration lag) : lag_(lag) {}

void HostListStore::Put(const ListedHost& host, core::TimePoint now) {
  pending_.push_back({now + lag_, host.id, host});
}

void HostListStore::Remove(const std::string& id, core::TimePoint now) {
  pending_.push_back({now + lag_, id, std::nullopt});
}

HostList HostListStore::Read(uint64_t known_version, core::TimePoint now) {
  ApplyVisible(now);
  HostList list;
  list.version = version_;
  if (known_version == version_) {
    return list;
  }
  for (const auto& [id, host] : hosts_) {
    list.hosts.push_back(host);
  }
  return list;
}

void HostListStore::ApplyVisible(core::TimePoint now) {
  while (!pending_.empty() && pending_.front().visible_at <= now) {
    const Change& change = pending_.front();
    if (change.host) {
      hosts_[change.id] = *change.host;
    } else {
      hosts_.erase(change.id);
    }
    ++version_;
    pending_.pop_front();
  }
}

}  // namespace wasabi::standin
