#pragma once

#include <wagtailrack/process/InstanceList.h>

namespace wagtailrack::process {

// The list as `GET /v1/instances` returns it; docs/design.md section 4.4. Opens a connection for each call, because
// calls are half a minute apart.
class HttpInstanceList final : public InstanceList {
public:
    explicit HttpInstanceList(Endpoint endpoint);

    Result<std::vector<ListedInstance>> read(SteadyTime deadline) override;

private:
    const Endpoint endpoint;
};

// Reads the JSON text of a list. Entries of unknown states are skipped. Fails with AnswerInvalid.
Result<std::vector<ListedInstance>> parseInstanceList(const std::string& text, const std::string& place);

}
