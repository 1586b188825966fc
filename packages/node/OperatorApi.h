// The control API under /v1: settings, audit, status, owners, targets, members,
// and the announcements of targets.
#pragma once

#include "base/EventLoopThread.h"
#include "gateway/HttpGateway.h"
#include "node/DataCentreParticipant.h"
#include "node/SettingsParticipant.h"
#include "settings/Access.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace magnoliamill::node {

/// All methods run on the state thread, and replies are sent from it.
class OperatorApi {
public:
  using Respond = std::function<void(gateway::ApiReply)>;
  /// Queries another VM; used for what only replicas know.
  using QueryVm = std::function<void(const base::VmId &, protocol::QueryRequest,
                                     protocol::Reply<protocol::QueryReply>)>;

  OperatorApi(const settings::NodeSettings &node, SettingsParticipant &settings,
              DataCentreParticipant &datacentre, QueryVm query);

  void handle(gateway::ApiRequest request, Respond respond);
  /// Answers watchers for which there are changes or whose wait time has ended.
  void answerWatchers();
  /// The JSON document of /v1/status, from the reports that this VM received.
  std::string renderStatus(consensus::LogIndex index) const;

private:
  using Parameters = std::map<std::string, std::string>;
  struct Watcher {
    consensus::LogIndex After = 0;
    std::string Prefix;
    base::MonoTime Until;
    Respond Reply;
  };

  void handleSettings(const gateway::ApiRequest &request,
                      const std::string &path, const Parameters &parameters,
                      const settings::Principal &principal, Respond respond);
  void change(settings::Command command, const Respond &respond);
  void list(const std::string &prefix, const Respond &respond) const;
  void audit(const Parameters &parameters, const Respond &respond) const;
  void watch(const Parameters &parameters, Respond respond);
  void status(const Parameters &parameters, Respond respond);
  void targets(const Parameters &parameters, const Respond &respond) const;
  void owners(const Parameters &parameters, const Respond &respond) const;
  void members(const Respond &respond) const;
  void announce(gateway::ApiRequest request, const Respond &respond);
  std::string renderChanges(const Watcher &watcher, bool &any) const;

  const settings::NodeSettings &Node;
  SettingsParticipant &Settings;
  DataCentreParticipant &DataCentre;
  QueryVm Query;
  std::vector<Watcher> Watchers;
};

} // namespace magnoliamill::node
