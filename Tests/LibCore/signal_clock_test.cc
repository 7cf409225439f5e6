// Guards against a stop that is counted from when the loop noticed its signal:
// a process that stood still notices it late.

#include "LibCore/signal_clock.h"

#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <functional>
#include <thread>

namespace wasabi::core {
namespace {

constexpr Duration kStandstill = milliseconds(300);

// When a loop handled a signal, and since when it may have had it.
struct Handled {
  TimePoint received_after;
  TimePoint handled_at;
};

// Calls `before_run` once the loop watches for SIGUSR1, and runs the loop until
// it has handled it.
Handled HandleSignal(
    EventLoop* loop,
    const std::function<void()>& before_run = []() {}) {
  Handled result;
  const SignalClock clock(loop);
  loop->OnSignal(SIGUSR1, [&]() {
    result = {clock.received_after(), loop->Now()};
    loop->Stop();
  });
  before_run();
  loop->Run();
  return result;
}

TEST_CASE("a loop that stands still counts a signal from before it") {
  EventLoop loop;
  TimePoint last_tick;
  TimePoint raised_at;
  int ticks = 0;
  const auto ticker = loop.NewTimer([&]() {
    constexpr int kTicks = 5;
    if (++ticks != kTicks) {
      last_tick = ticks < kTicks ? loop.Now() : last_tick;
      return;
    }
    raised_at = loop.Now();
    raise(SIGUSR1);
    std::this_thread::sleep_for(kStandstill);
  });
  ticker->StartRepeating(milliseconds(10));
  const Handled handled = HandleSignal(&loop);
  CHECK(handled.handled_at >= raised_at + kStandstill);
  CHECK(handled.received_after <= raised_at);
  // No earlier than needed.
  CHECK(handled.received_after >= last_tick);
}

TEST_CASE("a loop counts a signal that came before it ran from its creation") {
  const TimePoint before = Clock::now();
  EventLoop loop;
  TimePoint raised_at;
  const Handled handled = HandleSignal(&loop, [&]() {
    raised_at = loop.Now();
    raise(SIGUSR1);
    std::this_thread::sleep_for(kStandstill);
  });
  CHECK(handled.received_after <= raised_at);
  CHECK(handled.received_after >= before);
}

// Runs a loop, and writes to `output` how it has handled SIGUSR1.
[[noreturn]] void RunChild(int output) {
  EventLoop loop;
  const auto ticker = loop.NewTimer([&]() {
    const char ready = 'r';
    static_cast<void>(write(output, &ready, sizeof(ready)));
  });
  ticker->StartOnce(milliseconds(10));
  const auto idle = loop.NewTimer([]() {});
  idle->StartRepeating(milliseconds(20));
  const Handled handled = HandleSignal(&loop);
  static_cast<void>(write(output, &handled, sizeof(handled)));
  _exit(0);
}

TEST_CASE("a process that is paused counts a signal from before it went on") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  const pid_t child = fork();
  REQUIRE(child >= 0);
  if (child == 0) {
    RunChild(ends[1]);
  }
  close(ends[1]);
  char ready = 0;
  CHECK(read(ends[0], &ready, sizeof(ready)) == sizeof(ready));
  kill(child, SIGSTOP);
  CHECK(waitpid(child, nullptr, WUNTRACED) == child);
  const TimePoint signalled_at = Clock::now();
  kill(child, SIGUSR1);
  std::this_thread::sleep_for(kStandstill);
  kill(child, SIGCONT);
  Handled handled;
  CHECK(read(ends[0], &handled, sizeof(handled)) == sizeof(handled));
  CHECK(waitpid(child, nullptr, 0) == child);
  close(ends[0]);
  CHECK(handled.received_after <= signalled_at);
  CHECK(handled.handled_at >= signalled_at + kStandstill);
}

}  // namespace
}  // namespace wasabi::core
