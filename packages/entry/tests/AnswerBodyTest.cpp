// Tests that answers hold no more memory than their share.
#include "entry/AnswerBody.h"

#include <catch2/catch.hpp>

using namespace magnoliamill::entry;

namespace {

constexpr std::size_t Capacity = 1000;

/// Appends parts to \p body until it is refused; returns its size then.
std::size_t fill(AnswerBody &body) {
  while (body.append("0123456789"))
    ;
  return body.size();
}

} // namespace

TEST_CASE("Answers that grow without end") {
  auto memory =
      std::make_shared<magnoliamill::gateway::MessageMemory>(Capacity);
  AnswerBody first(memory);

  SECTION("one alone gets half of the memory") {
    CHECK(fill(first) == Capacity / 2);
    CHECK(first.hasOverflowed());

    SECTION("the next one gets half of the rest") {
      AnswerBody second(memory);
      CHECK(fill(second) == Capacity / 4);
    }
    SECTION("its memory is free once it is cleared") {
      first.clear();
      CHECK(memory->used() == 0);
      CHECK_FALSE(first.hasOverflowed());
      CHECK(fill(first) == Capacity / 2);
    }
  }
  SECTION("the memory of one that has ended is free") {
    {
      AnswerBody ended(memory);
      fill(ended);
    }
    CHECK(memory->used() == 0);
  }
}

TEST_CASE("An answer that is passed on while it is received") {
  auto memory =
      std::make_shared<magnoliamill::gateway::MessageMemory>(Capacity);
  AnswerBody body(memory);
  std::string taken;
  std::string sent;

  SECTION("may be larger than the memory, and is passed on unchanged") {
    while (sent.size() < 10 * Capacity) {
      const std::string part = std::to_string(sent.size()) + ",";
      REQUIRE(body.append(part));
      sent += part;
      if (sent.size() > Capacity / 4)
        taken += body.take(part.size());
    }
    CHECK(body.size() == sent.size());
    taken += body.take(sent.size() - taken.size());
    CHECK(taken == sent);
    CHECK(memory->used() == 0);
  }
}
