// Guards against callers that make the gateway hold more than its limits, or
// that end its process by the way in which they send.
#include "GatewayFixture.h"

using namespace magnoliamill;
using namespace magnoliamill::gateway;
using namespace magnoliamill::gateway::tests;

namespace {

const std::string ChunkedPost =
    "POST /s/a/ HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE("The end of an empty chunked body that arrives byte by byte ends the "
          "process") {
  GatewayFixture fixture;
  RawClient client(fixture.Gateway->port());
  for (const char byte : ChunkedPost + "0;x=y\r\nA: b\r\n\r\n") {
    client.send(std::string(1, byte));
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  fixture.answer(0, "ok");
  CHECK(client.readAnswer().ends_with("ok"));
  for (const char byte : ChunkedPost + "0\r\n\r\n") {
    client.send(std::string(1, byte));
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  fixture.answer(1, "ok");
  CHECK(client.readAnswer().ends_with("ok"));
}
