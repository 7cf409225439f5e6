#include "Services/Router/owner_controller.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "LibCore/result_code.h"

namespace wasabi::router {

namespace {

// An owner that was created by forced work on a host that does not own the
// runner is kept for this long after its last use.
constexpr core::Duration kForcedOwnershipLifetime = std::chrono::seconds(10);
// Load bound that is never reached, for strategies without one and for tests
// that disable it.
constexpr double kUnboundedLoad = 1e6;

}  // namespace

std::string RunnerOwnershipName(const core::RunnerId& runner) {
  return "runner/" + runner.value();
}

OwnerController::OwnerController(OwnerContext context,
                                 const EndpointDirectory* directory,
                                 core::HostId self)
    : context_(std::move(context)),
      directory_(directory),
      self_(std::move(self)),
      table_(std::make_shared<membership::MemberTable>()),
      configuration_(std::make_shared<intent::Configuration>()) {}

void OwnerController::Update(const membership::MemberTableSnapshot& table,
                             const intent::ConfigurationView& configuration) {
  table_ = table;
  configuration_ = configuration;
  for (const platform::ListedHost* host :
       directory_->OfKind(platform::HostKind::kRunner)) {
    const core::RunnerId runner(host->id);
    const bool is_owner = IsOwner(runner);
    const auto it = owners_.find(runner);
    if (it == owners_.end()) {
      if (is_owner) {
        FindOrCreate(runner);
      }
      continue;
    }
    if (is_owner) {
      it->second->Resume();
    } else {
      it->second->Release();
    }
    it->second->SetPolicy(PolicyOf(host->pool));
    it->second->SetListedAsAccepting(
        host->state == platform::HostState::kLive &&
        !configuration_->drained_endpoints.contains(host->id));
  }
  for (const auto& [runner, owner] : owners_) {
    if (directory_->Find(runner.value()) == nullptr) {
      owner->Release();
      for (const auto& [other, other_owner] : owners_) {
        other_owner->ErasePointersTo(runner);
      }
    }
  }
  DropReleased();
}

void OwnerController::Submit(const SubmitWork& work,
                             const std::shared_ptr<WorkSink>& sink) {
  if (!work.is_forced && !IsOwner(work.runner)) {
    sink->OnDone(core::MakeStatus(core::ResultCode::kWrongOwner,
                                  "this host does not own the runner"));
    return;
  }
  RunnerOwner* owner = FindOrCreate(work.runner);
  if (owner == nullptr) {
    sink->OnTryNext();
    return;
  }
  owner->Submit(work, sink);
}

void OwnerController::RecordPointer(const PointerUpdate& update) {
  const auto it = owners_.find(update.first_choice);
  if (it != owners_.end()) {
    it->second->RecordPointer(update.chat, update.target);
  }
}

void OwnerController::OnOwnershipTransfer(const OwnershipTransfer& message) {
  RunnerOwner* owner = FindOrCreate(message.runner);
  if (owner == nullptr) {
    return;
  }
  owner->OnOwnershipTransfer();
  for (const PointerUpdate& update : message.pointers) {
    owner->RecordPointer(update.chat, update.target);
  }
}

void OwnerController::Tick() {
  std::vector<RunnerOwner*> owners;
  owners.reserve(owners_.size());
  for (const auto& [runner, owner] : owners_) {
    owners.push_back(owner.get());
  }
  for (RunnerOwner* owner : owners) {
    owner->Tick();
  }
  DropReleased();
}

std::map<core::PoolId, routing::PoolDemand> OwnerController::LocalDemand()
    const {
  std::map<core::PoolId, routing::PoolDemand> demand;
  for (const auto& [runner, owner] : owners_) {
    if (owner->is_released()) {
      continue;
    }
    routing::PoolDemand& sum = demand[owner->pool()];
    sum = sum + owner->Demand();
  }
  return demand;
}

bool OwnerController::is_idle() const {
  return std::all_of(owners_.begin(), owners_.end(),
                     [](const auto& it) { return it.second->is_idle(); });
}

size_t OwnerController::owned_runners() const {
  return static_cast<size_t>(
      std::count_if(owners_.begin(), owners_.end(),
                    [](const auto& it) { return !it.second->is_released(); }));
}

bool OwnerController::IsOwner(const core::RunnerId& runner) const {
  const membership::Member* owner = table_->OwnerOf(
      RunnerOwnershipName(runner), membership::MemberRole::kRouter);
  return owner != nullptr && owner->id == self_;
}

RunnerOwner* OwnerController::FindOrCreate(const core::RunnerId& runner) {
  const auto it = owners_.find(runner);
  if (it != owners_.end()) {
    return it->second.get();
  }
  const platform::ListedHost* host = directory_->Find(runner.value());
  if (host == nullptr || host->kind != platform::HostKind::kRunner) {
    return nullptr;
  }
  auto owner =
      std::make_unique<RunnerOwner>(&context_, *host, PolicyOf(host->pool));
  owner->SetListedAsAccepting(
      host->state == platform::HostState::kLive &&
      !configuration_->drained_endpoints.contains(host->id));
  return owners_.emplace(runner, std::move(owner)).first->second.get();
}

routing::AdmissionPolicy OwnerController::PolicyOf(
    const core::PoolId& pool) const {
  routing::AdmissionPolicy policy;
  for (const auto& [id, deployment] : configuration_->deployments) {
    for (const auto& [model, settings] : deployment.models) {
      if (settings.pool != pool) {
        continue;
      }
      const bool is_bound = settings.strategy == "owners" &&
                            !context_.settings->IsDisabled("load_bound");
      policy.load_bound = is_bound ? settings.load_bound : kUnboundedLoad;
      policy.max_running = static_cast<uint32_t>(settings.max_running);
      policy.prefill_tokens_per_second =
          static_cast<double>(settings.prefill_tokens_per_second);
      policy.miss_cost_factor = settings.miss_cost_factor;
    }
  }
  return policy;
}

void OwnerController::DropReleased() {
  const core::TimePoint now = context_.loop->Now();
  std::erase_if(owners_, [&](const auto& it) {
    const RunnerOwner& owner = *it.second;
    if (IsOwner(it.first) && directory_->Find(it.first.value()) != nullptr) {
      return false;
    }
    const bool is_unused = now - owner.last_use() > kForcedOwnershipLifetime;
    if (!owner.is_idle() || !(owner.is_released() || is_unused)) {
      return false;
    }
    const membership::Member* successor = table_->OwnerOf(
        RunnerOwnershipName(it.first), membership::MemberRole::kRouter);
    if (successor != nullptr && send_ownership_transfer_) {
      send_ownership_transfer_(*successor,
                               OwnershipTransfer{it.first, owner.pool(), {}});
    }
    return true;
  });
}

}  // namespace wasabi::router
