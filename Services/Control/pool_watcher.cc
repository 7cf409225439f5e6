#include "Services/Control/pool_watcher.h"

#include <utility>

namespace wasabi::control {

using platform::HostKind;
using platform::HostState;
using platform::ListedHost;

PoolWatcher::PoolWatcher(core::EventLoop* loop,
                         platform::HostListClient* client,
                         core::Duration period,
                         std::function<void()> on_change)
    : client_(client),
      on_change_(std::move(on_change)),
      timer_(loop->NewTimer([this] { Poll(); })) {
  timer_->StartRepeating(period);
  Poll();
}

PoolWatcher::~PoolWatcher() {
  *alive_ = false;
}

core::SocketAddress PoolWatcher::AddressOf(const std::string& endpoint) const {
  const auto it = addresses_.find(endpoint);
  return it == addresses_.end() ? core::SocketAddress() : it->second;
}

void PoolWatcher::Poll() {
  if (is_polling_) {
    return;
  }
  is_polling_ = true;
  client_->Fetch(version_, [this, alive = alive_](
                               const absl::StatusOr<platform::HostList>& list) {
    if (*alive) {
      is_polling_ = false;
      OnList(list);
    }
  });
}

void PoolWatcher::OnList(const absl::StatusOr<platform::HostList>& list) {
  // The last list stays in use while the platform is down.
  if (!list.ok() || list->version == version_) {
    return;
  }
  version_ = list->version;
  pools_.clear();
  addresses_.clear();
  entries_.clear();
  for (const ListedHost& host : list->hosts) {
    if (host.kind == HostKind::kEntry) {
      entries_.push_back(host.address);
      continue;
    }
    addresses_[host.id] = host.address;
    if (host.state == HostState::kLive) {
      pools_[host.pool].insert(host.id);
    }
  }
  on_change_();
}

}  // namespace wasabi::control
