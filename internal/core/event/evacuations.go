package event

import "endivepost/internal/data/revision"

// EvacuatedDomain is an evacuated domain, as of the revision at which that was written.
type EvacuatedDomain struct {
	Name     string
	Revision revision.Revision
}

// EvacuationsRead is the whole list of evacuated domains. One that is not in it was not
// evacuated at Revision.
type EvacuationsRead struct {
	Domains  []EvacuatedDomain
	Revision revision.Revision
}

// EvacuationChanged reports that a domain was evacuated, or restored, at Revision.
type EvacuationChanged struct {
	Domain    string
	Evacuated bool
	Revision  revision.Revision
}

func (EvacuationsRead) input()   {}
func (EvacuationChanged) input() {}
