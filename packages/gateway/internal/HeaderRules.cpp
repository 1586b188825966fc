// Header lookup and the lists of headers that are not forwarded.
#include "gateway/HeaderRules.h"

#include <algorithm>
#include <array>

namespace magnoliamill::gateway {
namespace {

constexpr std::array<std::string_view, 13> ConnectionHeaders = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
    "Host",
    "Expect",
    "Trailers"};

char toLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    text.remove_suffix(1);
  return text;
}

/// Returns the header names listed in the Connection headers.
std::vector<std::string>
listConnectionTokens(const std::vector<protocol::HttpHeader> &headers) {
  std::vector<std::string> tokens;
  for (const auto &header : headers) {
    if (!equalsIgnoringCase(header.Name, "Connection"))
      continue;
    std::string_view rest = header.Value;
    while (!rest.empty()) {
      std::size_t comma = rest.find(',');
      tokens.emplace_back(trim(rest.substr(0, comma)));
      rest = comma == std::string_view::npos ? std::string_view()
                                             : rest.substr(comma + 1);
    }
  }
  return tokens;
}

bool isMillHeader(std::string_view name) {
  return name.size() >= 5 && equalsIgnoringCase(name.substr(0, 5), "Mill-");
}

} // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right) {
  return std::ranges::equal(left, right, {}, toLower, toLower);
}

void stripForForwarding(std::vector<protocol::HttpHeader> &headers) {
  stripConnectionHeaders(headers);
  std::erase_if(headers, [&](const protocol::HttpHeader &header) {
    return isMillHeader(header.Name) ||
           equalsIgnoringCase(header.Name, "Idempotency-Key");
  });
}

void stripConnectionHeaders(std::vector<protocol::HttpHeader> &headers) {
  const auto tokens = listConnectionTokens(headers);
  std::erase_if(headers, [&](const protocol::HttpHeader &header) {
    auto matches = [&](std::string_view name) {
      return equalsIgnoringCase(header.Name, name);
    };
    return std::ranges::any_of(ConnectionHeaders, matches) ||
           std::ranges::any_of(tokens, matches);
  });
}

std::string_view findHeader(const std::vector<protocol::HttpHeader> &headers,
                            std::string_view name) {
  auto it = std::ranges::find_if(headers, [&](const auto &header) {
    return equalsIgnoringCase(header.Name, name);
  });
  return it == headers.end() ? std::string_view() : it->Value;
}

std::size_t countHeader(const std::vector<protocol::HttpHeader> &headers,
                        std::string_view name) {
  return static_cast<std::size_t>(
      std::ranges::count_if(headers, [&](const auto &header) {
        return equalsIgnoringCase(header.Name, name);
      }));
}

} // namespace magnoliamill::gateway
