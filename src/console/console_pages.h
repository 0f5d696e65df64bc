#pragma once

#include "console/change_flow.h"
#include "console/form_token.h"
#include "console/operator_list.h"
#include "core/clock.h"
#include "http/server.h"

#include <memory>
#include <string>

namespace waxwing {

/// Answers the requests of operators with HTML pages.
class console_pages
{
public:
    /// `base` and `time` outlive the pages.
    console_pages(event_base *base, const clock &time, const console_settings &settings,
                  operator_list operators);

    /// Answers one request. The pages outlive the request.
    void handle(const http::request &message, http::responder to);

private:
    using shared_responder = std::shared_ptr<http::responder>;

    void handleGet(const http::request &message, const std::string &operatorName,
                   const shared_responder &to);
    void handlePost(const http::request &message, const std::string &operatorName,
                    const shared_responder &to);
    void showOverview(const shared_responder &to);
    void showHistory(const http::request &message, const shared_responder &to);
    void showNewForm(const change_form &form, const std::string &id,
                     const std::string &operatorName, const shared_responder &to);
    void showForm(const sent_form &sent, form_again again, const shared_responder &to);
    void showResult(const sent_form &sent, const flow_result &result, const shared_responder &to);
    /// Whether the form was made by the console for the operator. Answers the request otherwise.
    bool checkToken(const sent_form &sent, const shared_responder &to);

    const clock &m_time;
    http::client m_connections;
    object_client m_objects;
    configuration_reader m_reader;
    host_client m_hosts;
    change_flow m_flow;
    form_tokens m_tokens;
    operator_list m_operators;
};

} // namespace waxwing
