#include "Tests/Support/GossipNetwork/exchange_fleet.h"

#include <cmath>

namespace wasabi::load {

using membership::ApplicationKind;
using membership::Member;

ExchangeFleet::ExchangeFleet(membership::GossipNetwork* network,
                             double early_report_threshold)
    : network_(network),
      exchanges_(network->size()),
      bytes_sent_(network->size()) {
  for (int i = 0; i < network->size(); ++i) {
    Start(i, early_report_threshold);
  }
  network_->SetApplicationHandler(
      [this](int to, const Member& from, const membership::DatagramView& view) {
        exchanges_[to]
            ->OnDatagram(from, static_cast<ApplicationKind>(view.kind),
                         view.body, network_->now())
            .IgnoreError();
      });
  network_->SetTickHandler([this](int node, core::TimePoint now) {
    exchanges_[node]->Tick(*network_->protocol(node).table(), now);
  });
}

void ExchangeFleet::Start(int node, double early_report_threshold) {
  PoolLoadOptions options;
  options.self = network_->IdOf(node);
  options.data_centre = network_->protocol(node).self().data_centre;
  options.early_report_threshold = early_report_threshold;
  const auto send = [this, node](const core::HostId& to, ApplicationKind kind,
                                 std::string_view body) {
    const auto table = network_->protocol(node).table();
    const Member* member = table->Find(to);
    if (member == nullptr) {
      return;
    }
    bytes_sent_[node] += body.size() + membership::kDatagramPrefixBytes +
                         membership::kDatagramHeaderBytes;
    network_->SendApplication(node, member->gossip_address,
                              static_cast<uint8_t>(kind), body);
  };
  exchanges_[node] = std::make_unique<PoolLoadExchange>(options, send);
}

void ExchangeFleet::SetLocalDemand(int node,
                                   const routing::PoolDemand& demand) {
  exchanges_[node]->SetLocalDemand(Pool(), demand);
}

routing::PoolDemand ExchangeFleet::Total(int node) const {
  return exchanges_[node]->Total(Pool(), network_->now());
}

bool ExchangeFleet::AllSeeMean(double mean, double tolerance) const {
  for (int i = 0; i < network_->size(); ++i) {
    if (network_->IsRunning(i) &&
        std::abs(Total(i).MeanRequests() - mean) > tolerance) {
      return false;
    }
  }
  return true;
}

int ExchangeFleet::AggregatorOf(int node) const {
  const auto table = network_->protocol(node).table();
  const core::DataCentreId data_centre =
      network_->protocol(node).self().data_centre;
  const Member* aggregator = table->OwnerInDataCentre(
      "pool/" + Pool().value(), membership::MemberRole::kRouter, data_centre);
  for (int i = 0; i < network_->size(); ++i) {
    if (aggregator != nullptr && network_->IdOf(i) == aggregator->id) {
      return i;
    }
  }
  return -1;
}

}  // namespace wasabi::load
