#include "LibCore/signal_clock.h"

#include <utility>

namespace wasabi::core {

SignalClock::SignalClock(EventLoop* loop) : waits_(std::make_shared<Waits>()) {
  waits_->began_at = loop->Now();
  waits_->previous_began_at = waits_->began_at;
  loop->OnBeforeSleep([waits = waits_, loop]() {
    waits->previous_began_at = std::exchange(waits->began_at, loop->Now());
  });
}

}  // namespace wasabi::core
