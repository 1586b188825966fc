// Tests that answers hold no more memory than their share.
#include "entry/AnswerBody.h"

#include <catch2/catch.hpp>

using namespace magnoliamill::entry;

namespace {

constexpr std::size_t Block = AnswerBody::MaxBlockBytes;
constexpr std::size_t Capacity = 64 * Block;

/// True if \p bytes is \p share, less at most the block that did not fit.
bool isNearly(std::size_t bytes, std::size_t share) {
  return bytes <= share && bytes + Block > share;
}

/// Appends parts to \p body until it is refused; returns its size then.
std::size_t fill(AnswerBody &body) {
  const std::string part(1000, 'x');
  while (body.append(part))
    ;
  return body.size();
}

} // namespace

TEST_CASE("Answers that grow without end") {
  auto memory =
      std::make_shared<magnoliamill::gateway::MessageMemory>(Capacity);
  AnswerBody first(memory);

  SECTION("one alone gets half of the memory") {
    CHECK(isNearly(fill(first), Capacity / 2));
    CHECK(memory->used() >= first.size());
    CHECK(memory->used() <= Capacity / 2);
    CHECK(first.hasOverflowed());

    SECTION("the next one gets half of the rest") {
      AnswerBody second(memory);
      const auto left = Capacity - memory->used();
      CHECK(isNearly(fill(second), left / 2));
      CHECK(memory->used() >= first.size() + second.size());
    }
    SECTION("its memory is free once it is cleared") {
      first.clear();
      CHECK(memory->used() == 0);
      CHECK_FALSE(first.hasOverflowed());
      CHECK(isNearly(fill(first), Capacity / 2));
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

TEST_CASE("A small answer takes little more memory than its size") {
  auto memory =
      std::make_shared<magnoliamill::gateway::MessageMemory>(Capacity);
  AnswerBody body(memory);
  REQUIRE(body.append("0123456789"));
  CHECK(memory->used() <= AnswerBody::MinBlockBytes);
  const std::string more(5000, 'x');
  REQUIRE(body.append(more));
  CHECK(memory->used() <= 2 * body.size());
  CHECK(body.take(5010) == "0123456789" + more);
}

TEST_CASE("An answer that is passed on while it is received") {
  auto memory =
      std::make_shared<magnoliamill::gateway::MessageMemory>(Capacity);
  AnswerBody body(memory);
  std::string taken;
  std::string sent;

  SECTION("may be larger than the memory, and is passed on unchanged") {
    while (sent.size() < 10 * Capacity) {
      const std::string part =
          std::to_string(sent.size()) + std::string(sent.size() % 5000, ',');
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
