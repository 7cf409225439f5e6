#include "Services/Router/host_list_poller.h"

#include <utility>

namespace wasabi::router {

HostListPoller::HostListPoller(core::EventLoop* loop,
                               platform::HostListClient* client,
                               EndpointDirectory* directory,
                               core::Duration period,
                               std::function<void()> on_change)
    : loop_(loop),
      client_(client),
      directory_(directory),
      period_(period),
      on_change_(std::move(on_change)) {
  timer_ = loop_->NewTimer([this] { Poll(); });
  timer_->StartOnce(core::Duration::zero());
}

std::vector<core::SocketAddress> HostListPoller::EntryAddresses() const {
  std::vector<core::SocketAddress> addresses;
  for (const platform::ListedHost* host :
       directory_->OfKind(platform::HostKind::kEntry)) {
    addresses.push_back(host->address);
  }
  return addresses;
}

void HostListPoller::Poll() {
  client_->Fetch(known_version_,
                 [this](const absl::StatusOr<platform::HostList>& list) {
                   timer_->StartOnce(period_);
                   OnList(list);
                 });
}

void HostListPoller::OnList(const absl::StatusOr<platform::HostList>& list) {
  if (!list.ok()) {
    return;
  }
  const bool is_first = !has_list_;
  has_list_ = true;
  // Only a newer version is applied: after a platform outage the list may have
  // lost its rows, and applying it would remove all endpoints.
  if (!is_first && list->version <= known_version_) {
    return;
  }
  known_version_ = list->version;
  directory_->SetHostList(*list);
  on_change_();
}

}  // namespace wasabi::router
