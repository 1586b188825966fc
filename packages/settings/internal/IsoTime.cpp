// Parses ISO 8601 times with an explicit UTC offset.
#include "settings/Schema.h"

#include <charconv>
#include <chrono>

namespace magnoliamill::settings {
namespace {

/// Consumes fixed-width numbers and single characters from the front of a text.
class Scanner {
public:
  explicit Scanner(std::string_view text) : Rest(text) {}

  std::optional<int> takeNumber(std::size_t digits) {
    if (Rest.size() < digits)
      return std::nullopt;
    int value = 0;
    for (char c : Rest.substr(0, digits)) {
      if (c < '0' || c > '9')
        return std::nullopt;
      value = value * 10 + (c - '0');
    }
    Rest.remove_prefix(digits);
    return value;
  }

  bool takeChar(char c) {
    if (Rest.empty() || Rest.front() != c)
      return false;
    Rest.remove_prefix(1);
    return true;
  }

  /// Skips digits; false when there are none.
  bool skipDigits() {
    auto n = std::min(Rest.find_first_not_of("0123456789"), Rest.size());
    Rest.remove_prefix(n);
    return n > 0;
  }

  bool atEnd() const { return Rest.empty(); }

private:
  std::string_view Rest;
};

using Minutes = std::chrono::minutes;

std::optional<Minutes> takeOffset(Scanner &scan) {
  if (scan.takeChar('Z'))
    return Minutes(0);
  int sign = scan.takeChar('+') ? 1 : -1;
  if (sign < 0 && !scan.takeChar('-'))
    return std::nullopt;
  auto hours = scan.takeNumber(2);
  if (!hours || *hours > 23 || !scan.takeChar(':'))
    return std::nullopt;
  auto minutes = scan.takeNumber(2);
  if (!minutes || *minutes > 59)
    return std::nullopt;
  return Minutes(sign * (*hours * 60 + *minutes));
}

std::optional<std::chrono::sys_days> takeDate(Scanner &scan) {
  auto year = scan.takeNumber(4);
  if (!year || !scan.takeChar('-'))
    return std::nullopt;
  auto month = scan.takeNumber(2);
  if (!month || !scan.takeChar('-'))
    return std::nullopt;
  auto day = scan.takeNumber(2);
  if (!day)
    return std::nullopt;
  std::chrono::year_month_day date{
      std::chrono::year(*year),
      std::chrono::month(static_cast<unsigned>(*month)),
      std::chrono::day(static_cast<unsigned>(*day))};
  if (!date.ok())
    return std::nullopt;
  return std::chrono::sys_days(date);
}

std::optional<std::chrono::seconds> takeClock(Scanner &scan) {
  auto hours = scan.takeNumber(2);
  if (!hours || *hours > 23 || !scan.takeChar(':'))
    return std::nullopt;
  auto minutes = scan.takeNumber(2);
  if (!minutes || *minutes > 59 || !scan.takeChar(':'))
    return std::nullopt;
  auto seconds = scan.takeNumber(2);
  if (!seconds || *seconds > 59)
    return std::nullopt;
  if (scan.takeChar('.') && !scan.skipDigits())
    return std::nullopt;
  return std::chrono::seconds(*hours * 3600 + *minutes * 60 + *seconds);
}

} // namespace

std::optional<std::int64_t> parseIsoTime(std::string_view text) {
  Scanner scan(text);
  auto date = takeDate(scan);
  if (!date || !scan.takeChar('T'))
    return std::nullopt;
  auto clock = takeClock(scan);
  if (!clock)
    return std::nullopt;
  auto offset = takeOffset(scan);
  if (!offset || !scan.atEnd())
    return std::nullopt;
  return std::chrono::milliseconds(date->time_since_epoch() + *clock - *offset)
      .count();
}

} // namespace magnoliamill::settings
