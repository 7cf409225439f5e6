#include "Services/Forwarder/crash_record_controller.h"

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::forwarder {

namespace {

// Before the first, no host acts. Until the second, one that knows less than
// half of the fleet does not act either.
constexpr core::Duration kMinSettleTime = core::milliseconds(300);
constexpr core::Duration kMaxSettleTime = core::seconds(2);

}  // namespace

CrashRecordController::CrashRecordController(const CrashRecordContext& context,
                                             bool is_first_start)
    : context_(context),
      started_at_(context.scheduler->Now()),
      stored_(
          context.suspects,
          is_first_start,
          [this]() { Read(); },
          [this](const std::string& value) { Write(value); }),
      self_(std::make_shared<CrashRecordController*>(this)) {}

void CrashRecordController::SetHosts(size_t registered,
                                     const FleetRoles& roles) {
  registered_hosts_ = registered;
  roles_ = roles;
}

void CrashRecordController::Tick(platform::LogEpoch epoch) {
  stored_.Tick(Rank(), epoch, context_.scheduler->Now());
}

std::optional<size_t> CrashRecordController::Rank() const {
  const core::Duration age = context_.scheduler->Now() - started_at_;
  const bool knows_most = registered_hosts_ > 0 &&
                          2 * (roles_.others.size() + 1) >= registered_hosts_;
  if (age < kMinSettleTime || (age < kMaxSettleTime && !knows_most)) {
    return std::nullopt;
  }
  return roles_.reader_rank;
}

void CrashRecordController::Read() {
  ++calls_;
  context_.adapters->topics->ReadNewest(
      context_.adapters->names.crashes,
      [weak = std::weak_ptr(self_)](
          const absl::StatusOr<platform::KeyedPage>& page) {
        if (const auto self = weak.lock()) {
          (*self)->OnRead(page);
        }
      });
}

void CrashRecordController::OnRead(
    const absl::StatusOr<platform::KeyedPage>& page) {
  const auto parts = stored_.OnRead(page, context_.scheduler->Now());
  context_.events->Record(core::EventCode::kStoredBlamesRead, "",
                          parts.ok()
                              ? fmt::format("parts={}", *parts)
                              : "error=" + core::MessageOf(parts.status()));
}

void CrashRecordController::Write(const std::string& value) {
  ++calls_;
  context_.adapters->topics->Put(
      context_.adapters->names.crashes, std::string(forwarding::kBlameKey),
      value,
      [weak = std::weak_ptr(self_), bytes = value.size()](
          const absl::StatusOr<platform::LogEpoch>& written) {
        const auto self = weak.lock();
        if (self == nullptr) {
          return;
        }
        CrashRecordController& it = **self;
        it.stored_.OnWritten(written.ok(), it.context_.scheduler->Now());
        it.context_.events->Record(
            core::EventCode::kBlamesRecorded, "",
            written.ok() ? fmt::format("bytes={}", bytes)
                         : "error=" + core::MessageOf(written.status()));
      });
}

}  // namespace wasabi::forwarder
