#include "Tests/Support/Engine/engine_core.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

namespace wasabi::support {
namespace {

constexpr int kMaxSteps = 10'000;

// Returns a message of `tokens` tokens. Each kBytesPerToken bytes of its text
// are one token, and a message adds kTokensPerMessage tokens.
ChatMessage UserMessage(uint32_t tokens, char fill = 'u') {
  return {"user",
          std::string((tokens - kTokensPerMessage) * kBytesPerToken, fill)};
}

SequenceRequest MakeRequest(const std::string& chat,
                            std::vector<ChatMessage> messages,
                            uint32_t answer_tokens) {
  SequenceRequest request;
  request.chat = chat;
  request.messages = std::move(messages);
  request.answer = std::string(size_t{answer_tokens} * kBytesPerToken, 'a');
  request.answer_tokens = answer_tokens;
  return request;
}

// Runs the engine until it is idle and returns the outputs of each step.
std::vector<std::vector<StepOutput>> RunUntilIdle(EngineCore* engine) {
  std::vector<std::vector<StepOutput>> steps;
  while (!engine->is_idle()) {
    REQUIRE(steps.size() < kMaxSteps);
    steps.push_back(engine->Step());
  }
  return steps;
}

// Returns the number, counted from 1, of the step in which `sequence` emitted
// its first token, or 0 if it emitted none.
size_t FirstTokenStep(const std::vector<std::vector<StepOutput>>& steps,
                      SequenceId sequence) {
  for (size_t i = 0; i < steps.size(); ++i) {
    for (const StepOutput& output : steps[i]) {
      if (output.sequence == sequence) {
        return i + 1;
      }
    }
  }
  return 0;
}

TEST_CASE("the first token waits for the prefill of the uncached prompt") {
  struct Case {
    uint32_t prompt_tokens;
    size_t first_token_step;
  };
  const auto row = GENERATE(Case{20, 1}, Case{24, 1}, Case{25, 2}, Case{49, 3},
                            Case{240, 10});
  CAPTURE(row.prompt_tokens);
  EngineCore engine({});
  const SequenceId id =
      engine.Submit(MakeRequest("c", {UserMessage(row.prompt_tokens)}, 3));
  CHECK(FirstTokenStep(RunUntilIdle(&engine), id) == row.first_token_step);
}

TEST_CASE("a returning chat prefills only the tokens that are not cached") {
  EngineCore engine({});
  const ChatMessage first = UserMessage(200);
  engine.Submit(MakeRequest("c", {first}, 10));
  RunUntilIdle(&engine);
  const ChatMessage answer{"assistant", std::string(10 * kBytesPerToken, 'a')};
  const uint32_t context = TokensOf(first) + TokensOf(answer);

  struct Case {
    std::string chat;
    ChatMessage first;
    uint32_t cached_tokens;
  };
  const auto row =
      GENERATE_COPY(Case{"c", first, context}, Case{"d", first, 0},
                    Case{"c", UserMessage(200, 'x'), 0}, Case{"", first, 0});
  CAPTURE(row.chat);
  engine.Submit(MakeRequest(row.chat, {row.first, answer, UserMessage(20)}, 2));
  const auto steps = RunUntilIdle(&engine);
  CHECK(steps.back().front().cached_tokens == row.cached_tokens);
}

TEST_CASE("a full KV memory evicts the least recently used chat") {
  EngineLimits limits;
  limits.kv_capacity_tokens = 250;
  EngineCore engine(limits);
  for (const char* chat : {"a", "b", "c"}) {
    engine.Submit(MakeRequest(chat, {UserMessage(90)}, 6));
    RunUntilIdle(&engine);
  }
  CHECK(engine.kv_cache().ContextOf("a").empty());
  CHECK(!engine.kv_cache().ContextOf("b").empty());
  CHECK(!engine.kv_cache().ContextOf("c").empty());
  const std::vector<CacheEvent> events = engine.kv_cache().TakeEvents();
  REQUIRE(events.size() == 4);
  CHECK(events[2] == CacheEvent{3, false, "a", 100});
}

TEST_CASE("a request larger than the KV memory runs alone") {
  EngineLimits limits;
  limits.kv_capacity_tokens = 50;
  EngineCore engine(limits);
  const SequenceId large = engine.Submit(MakeRequest("", {UserMessage(90)}, 6));
  const SequenceId small = engine.Submit(MakeRequest("", {UserMessage(20)}, 6));
  const auto steps = RunUntilIdle(&engine);
  CHECK(FirstTokenStep(steps, large) < FirstTokenStep(steps, small));
  CHECK(engine.kv_cache().FreeShare() == 1.0);
}

TEST_CASE("urgent requests are admitted and prefilled before the others") {
  EngineLimits limits;
  limits.max_running = 1;
  EngineCore engine(limits);
  SequenceRequest batch = MakeRequest("", {UserMessage(20)}, 4);
  batch.priority = 2;
  SequenceRequest urgent = batch;
  urgent.priority = 0;
  const SequenceId late = engine.Submit(batch);
  const SequenceId early = engine.Submit(urgent);
  const auto steps = RunUntilIdle(&engine);
  CHECK(FirstTokenStep(steps, early) == 1);
  CHECK(FirstTokenStep(steps, late) == 5);
}

TEST_CASE("a resumed request emits only the remaining tokens of the answer") {
  struct Case {
    uint32_t resume_from;
    std::vector<uint32_t> indices;
  };
  const auto row = GENERATE(Case{0, {0, 1, 2}}, Case{2, {2}}, Case{3, {3}});
  EngineCore engine({});
  SequenceRequest request = MakeRequest("c", {UserMessage(10)}, 3);
  request.resume_from = row.resume_from;
  engine.Submit(request);
  std::vector<uint32_t> indices;
  for (const auto& outputs : RunUntilIdle(&engine)) {
    for (const StepOutput& output : outputs) {
      indices.push_back(output.token_index);
    }
  }
  CHECK(indices == row.indices);
}

TEST_CASE("a cancelled request releases all its resources") {
  EngineCore engine({});
  const SequenceId running =
      engine.Submit(MakeRequest("c", {UserMessage(10)}, 30));
  engine.Step();
  CHECK(engine.Load().running == 1);
  CHECK(engine.Cancel(running));
  CHECK(!engine.Cancel(running));
  CHECK(engine.is_idle());
  CHECK(engine.Load() == EngineLoad{});
}

TEST_CASE("a step takes longer with a larger batch") {
  EngineLimits limits;
  limits.step_per_sequence = core::microseconds(50);
  EngineCore engine(limits);
  CHECK(engine.StepDuration() == limits.step);
  for (int i = 0; i < 4; ++i) {
    engine.Submit(MakeRequest("", {UserMessage(10)}, 9));
  }
  engine.Step();
  CHECK(engine.StepDuration() == limits.step + core::microseconds(200));
}

}  // namespace
}  // namespace wasabi::support
