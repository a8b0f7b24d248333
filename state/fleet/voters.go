package fleet

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/state/id"
)

// VotersID orders the records of voters: by the term of the leader that wrote them, then by their number in it. The zero value is before all.
type VotersID struct {
	Term id.Revision `cbor:"1,keyasint,omitempty"`
	// Number counts the records of the term, from 1.
	Number int `cbor:"2,keyasint,omitempty"`
}

// IsAfter reports whether a record was written after another one.
func (v VotersID) IsAfter(other VotersID) bool {
	return v.Term > other.Term || v.Term == other.Term && v.Number > other.Number
}

// Voters is the record of the VMs whose reports let a leader act without its lease. It has no lease, so that the next leader finds it.
type Voters struct {
	VotersID
	// Members holds the VMs with their failure domains; it is empty if the record can't be read.
	Members map[id.VM]id.Domain `cbor:"3,keyasint,omitempty"`
	// Revision is the store revision at which the record was written, or 0; it isn't part of the encoded record.
	Revision id.Revision `json:"-" cbor:"-"`
}

// EncodeVoters returns a record as JSON.
func EncodeVoters(v Voters) (data []byte, err error) {
	data, err = json.Marshal(v)
	return data, errors.Wrap(err, "encode the voters")
}

// DecodeVoters returns the record that EncodeVoters has encoded, as written at a revision of the store.
func DecodeVoters(data []byte, revision id.Revision) (v Voters, err error) {
	defer func() { err = errors.Wrap(err, "decode the voters") }()
	if err := json.Unmarshal(data, &v); err != nil {
		return Voters{}, err
	}
	v.Revision = revision
	switch {
	case len(v.Members) == 0:
		return Voters{}, errors.New("Members: there are none")
	case v.Term == 0 || v.Term >= revision:
		return Voters{}, errors.Newf("Term: %d isn't before the record itself", v.Term.Number())
	case v.Number < 1:
		return Voters{}, errors.Newf("Number: %d does not count anything", v.Number)
	}
	for vm, domain := range v.Members {
		if err := errors.CombineErrors(checkName(string(vm)), checkName(string(domain))); err != nil {
			return Voters{}, errors.Wrap(err, "Members")
		}
	}
	return v, nil
}
